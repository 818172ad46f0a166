package dillcross.emulator.world;

import dillcross.emulator.chance.Chance;
import dillcross.emulator.oracle.Ask;
import dillcross.emulator.oracle.Oracle;
import dillcross.emulator.oracle.Violation;
import dillcross.emulator.oracle.Violation.Rule;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.scenario.Trouble.Drawn;
import dillcross.emulator.time.Timeline;
import dillcross.emulator.trace.Trace;
import dillcross.emulator.wire.Fabric;
import dillcross.net.SidecarServer;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;

/** One day: a scenario and a seed, played to its end. */
public final class Day {
  private static final long WARM_US = 1_000_000; // for the sidecars to start
  private static final long REST_US =
      2_500_000; // after the last op and the time that idle connections are kept
  private static final long RESTING_BYTES =
      2 * (7 << 10); // of the buffers' limit, that a connection may keep while it rests
  private static final int MOST_RESTS = 30; // seconds more
  private static final int RESTING_TIMERS = 3; // to ask for the list, and for the module to wake
  private static final long TOO_LONG_US = 600_000_000; // of the time after the last arrival

  /** What became of a day. */
  public record Result(
      long seed,
      List<Drawn> troubles,
      List<Violation> violations,
      long broken,
      String digest,
      long steps,
      long turns,
      long simulatedUs,
      long ops,
      long acked,
      long inTime,
      long nacked,
      long failed,
      long left,
      long notTaken,
      long retries,
      long pushes,
      double benefit,
      double possible,
      int restarts) {
    public boolean clean() {
      return broken == 0;
    }
  }

  private final Scenario scenario;
  private final long seed;
  private final List<Drawn> drawn;
  private final World world;
  private final Oracle oracle;
  private final Timeline time = new Timeline(World.START_US);
  private final Instances sidecars;
  private final List<Clients> clients = new ArrayList<>();
  private final Troubles troubles;

  private Day(
      Scenario scenario, long seed, List<Drawn> drawn, OutputStream lines, Trace.Reader reader) {
    this.scenario = scenario;
    this.seed = seed;
    this.drawn = drawn;
    Chance chance = Chance.of(seed);
    Scenario.Net net = scenario.network();
    Fabric fabric =
        new Fabric(
            time,
            chance.named("network"),
            Math.round(net.nearUs()),
            Math.round(net.farUs()),
            Math.round(net.jitterUs()));
    Trace trace = new Trace(lines, () -> time.now() - World.START_US, fabric::sum, reader);
    oracle = new Oracle(time::now, World.START_US, scenario);
    world = new World(scenario, time, chance, fabric, oracle, trace);
    Directory list = new Directory(world);
    Servers servers = new Servers(world, list);
    sidecars = new Instances(world, list);
    servers.sidecars(sidecars);
    list.sidecars(sidecars);
    sidecars.all().forEach(s -> clients.add(new Clients(world, s)));
    troubles = new Troubles(world, servers, list, sidecars, clients);
  }

  /** Plays it with the troubles that its seed draws. */
  public static Result play(Scenario scenario, long seed) {
    return play(
        scenario,
        seed,
        Troubles.draw(scenario, Chance.of(seed)),
        OutputStream.nullOutputStream(),
        null);
  }

  /**
   * Plays it with these troubles, its lines going there and its events to the reader, if there is
   * one.
   */
  public static Result play(
      Scenario scenario, long seed, List<Drawn> drawn, OutputStream lines, Trace.Reader reader) {
    return new Day(scenario, seed, drawn, lines, reader).play();
  }

  private Result play() {
    world.trace().note("day", "scenario", scenario.name(), "seed", seed);
    sidecars.all().forEach(Instance::boot);
    run(World.START_US + WARM_US);
    long firstUs = time.now();
    long lastUs = firstUs + Math.round(scenario.seconds() * 1e6);
    drawn.forEach(d -> troubles.arrange(d, firstUs));
    clients.forEach(c -> c.come(lastUs));
    run(lastUs);
    while (clients.stream().anyMatch(c -> c.open() > 0) && time.now() < lastUs + TOO_LONG_US) {
      run(time.now() + 100_000);
    }
    long overUs =
        drawn.stream()
            .mapToLong(d -> d.atUs() + d.forUs())
            .max()
            .orElse(0); // what goes wrong late is over before
    run(Math.max(time.now(), firstUs + overUs + Math.round(scenario.endpoints().graceMs() * 1000)));
    run(
        time.now()
            + REST_US
            + Math.round(Double.parseDouble(scenario.told().get("limits.keepalive_ms")) * 1000));
    rest();
    return result();
  }

  private void run(long untilUs) {
    while (time.step(untilUs)) {
      // the oracle and the sidecars' own turns check as they go
    }
  }

  /** All is over: nothing may be left of it. */
  private void rest() {
    for (int i = 0;
        i < MOST_RESTS && sidecars.all().stream().anyMatch(s -> restless(s) != null);
        i++) {
      run(time.now() + 1_000_000); // timers of what is over go when they are due
    }
    for (Instance s : sidecars.all()) {
      String left = restless(s);
      if (left != null) {
        oracle.broke(
            Rule.BACK_TO_REST,
            null,
            s.name + " with " + s.connections() + " connections still holds " + left);
      }
    }
    for (Ask ask : oracle.asks().values()) {
      oracle.silent(ask);
    }
  }

  /**
   * What a sidecar holds that it should not when nothing is carried out; null where that is
   * nothing.
   */
  private static String restless(Instance s) {
    SidecarServer.Usage usage = s.usage();
    int more = usage == null ? 0 : s.connections() - s.app.connections() - 1; // one is to the list
    boolean rests =
        usage == null
            || more <= 0
                && usage.trackedRequests() + usage.attempts() + usage.openRequests() == 0
                && usage.timers() <= RESTING_TIMERS
                && usage.bufferBytes() <= RESTING_BYTES * s.connections();
    return rests ? null : usage + (more > 0 ? " and " + more + " connections to endpoints" : "");
  }

  private Result result() {
    long acked = 0;
    long inTime = 0;
    long nacked = 0;
    long failed = 0;
    long left = 0;
    long pushes = 0;
    double benefit = 0;
    double possible = 0;
    for (Ask ask : oracle.asks().values()) {
      boolean soon = ask.status == 200 && ask.answerUs - ask.sentUs <= ask.targetUs();
      acked += ask.status == 200 ? 1 : 0;
      inTime += soon ? 1 : 0;
      nacked += ask.status == 503 || ask.status == 429 ? 1 : 0;
      failed +=
          ask.over && !ask.excused && ask.status != 200 && ask.status != 503 && ask.status != 429
              ? 1
              : 0;
      left += ask.excused ? 1 : 0;
      pushes += ask.pushes.size();
      benefit += soon ? ask.kind.benefit() : 0;
      possible += ask.attempt == 0 && !ask.excused ? ask.kind.benefit() : 0;
    }
    Trace trace = world.trace();
    trace.note(
        "end",
        "ops",
        oracle.asks().size(),
        "acked",
        acked,
        "nacked",
        nacked,
        "failed",
        failed,
        "violations",
        oracle.broken());
    return new Result(
        seed,
        drawn,
        oracle.violations(),
        oracle.broken(),
        trace.end(),
        time.steps(),
        sidecars.all().stream().mapToLong(Instance::turns).sum(),
        time.now() - World.START_US,
        oracle.asks().size(),
        acked,
        inTime,
        nacked,
        failed,
        left,
        clients.stream().mapToLong(Clients::notTaken).sum(),
        clients.stream().mapToLong(Clients::retries).sum(),
        pushes,
        benefit,
        possible,
        sidecars.all().stream().mapToInt(s -> Math.max(0, s.starts() - 1)).sum());
  }
}
