package dillcross.emulator.simulation;

import dillcross.emulator.network.VirtualNetwork;
import dillcross.emulator.oracle.ObservedRequest;
import dillcross.emulator.oracle.Oracle;
import dillcross.emulator.oracle.Violation;
import dillcross.emulator.oracle.Violation.Rule;
import dillcross.emulator.random.RandomStream;
import dillcross.emulator.scenario.Fault.Drawn;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.time.VirtualClock;
import dillcross.emulator.trace.Trace;
import dillcross.net.SidecarServer;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;

/** One day: a scenario and a seed, played to its end. */
public final class Simulation {
  private static final long WARM_US = 1_000_000; // for the sidecars to start
  private static final long REST_US =
      2_500_000; // after the last request and the time that idle connections are kept
  private static final long RESTING_BYTES =
      2 * (7 << 10); // of the buffers' limit, that a connection may keep while it rests
  private static final int MOST_RESTS = 30; // seconds more
  private static final int RESTING_TIMERS =
      3; // to ask for the list, and for the load balancer to wake
  private static final long TOO_LONG_US = 600_000_000; // of the time after the last arrival

  /** What became of a day. */
  public record Result(
      long seed,
      List<Drawn> faults,
      List<Violation> violations,
      long broken,
      String digest,
      long steps,
      long turns,
      long simulatedUs,
      long requests,
      long succeeded,
      long inTime,
      long rejected,
      long failed,
      long left,
      long notTaken,
      long retries,
      long attempts,
      double earnedValue,
      double possibleValue,
      int restarts) {
    public boolean clean() {
      return broken == 0;
    }
  }

  private final Scenario scenario;
  private final long seed;
  private final List<Drawn> drawn;
  private final SimulationContext world;
  private final Oracle oracle;
  private final VirtualClock time = new VirtualClock(SimulationContext.START_US);
  private final SidecarProcesses sidecars;
  private final List<EmulatedClients> clients = new ArrayList<>();
  private final FaultInjector faults;

  private Simulation(
      Scenario scenario, long seed, List<Drawn> drawn, OutputStream lines, Trace.Reader reader) {
    this.scenario = scenario;
    this.seed = seed;
    this.drawn = drawn;
    RandomStream random = RandomStream.of(seed);
    Scenario.NetworkSettings net = scenario.network();
    VirtualNetwork fabric =
        new VirtualNetwork(
            time,
            random.named("network"),
            Math.round(net.nearUs()),
            Math.round(net.farUs()),
            Math.round(net.jitterUs()));
    Trace trace =
        new Trace(lines, () -> time.now() - SimulationContext.START_US, fabric::sum, reader);
    oracle = new Oracle(time::now, SimulationContext.START_US, scenario);
    world = new SimulationContext(scenario, time, random, fabric, oracle, trace);
    DiscoveryService list = new DiscoveryService(world);
    EmulatedEndpoints servers = new EmulatedEndpoints(world, list);
    sidecars = new SidecarProcesses(world, list);
    servers.sidecars(sidecars);
    list.sidecars(sidecars);
    sidecars.all().forEach(s -> clients.add(new EmulatedClients(world, s)));
    faults = new FaultInjector(world, servers, list, sidecars, clients);
  }

  /** Plays it with the troubles that its seed draws. */
  public static Result play(Scenario scenario, long seed) {
    return play(
        scenario,
        seed,
        FaultInjector.draw(scenario, RandomStream.of(seed)),
        OutputStream.nullOutputStream(),
        null);
  }

  /**
   * Plays it with these troubles, its lines going there and its events to the reader, if there is
   * one.
   */
  public static Result play(
      Scenario scenario, long seed, List<Drawn> drawn, OutputStream lines, Trace.Reader reader) {
    return new Simulation(scenario, seed, drawn, lines, reader).play();
  }

  private Result play() {
    world.trace().note("day", "scenario", scenario.name(), "seed", seed);
    sidecars.all().forEach(SidecarProcess::boot);
    run(SimulationContext.START_US + WARM_US);
    long firstUs = time.now();
    long lastUs = firstUs + Math.round(scenario.seconds() * 1e6);
    drawn.forEach(d -> faults.arrange(d, firstUs));
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
            + Math.round(
                Double.parseDouble(scenario.sidecarSettings().get("limits.keepalive_ms")) * 1000));
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
    for (SidecarProcess s : sidecars.all()) {
      String left = restless(s);
      if (left != null) {
        oracle.broke(
            Rule.BACK_TO_REST,
            null,
            s.name + " with " + s.connections() + " connections still holds " + left);
      }
    }
    for (ObservedRequest request : oracle.requests().values()) {
      oracle.silent(request);
    }
  }

  /**
   * What a sidecar holds that it should not when nothing is carried out; null where that is
   * nothing.
   */
  private static String restless(SidecarProcess s) {
    SidecarServer.Usage usage = s.usage();
    int more = usage == null ? 0 : s.connections() - s.app.connections() - 1; // one is to the list
    boolean rests =
        usage == null
            || (more <= 0
                && usage.trackedRequests() + usage.attempts() + usage.openRequests() == 0
                && usage.timers() <= RESTING_TIMERS
                && usage.bufferBytes() <= RESTING_BYTES * s.connections());
    return rests ? null : usage + (more > 0 ? " and " + more + " connections to endpoints" : "");
  }

  private Result result() {
    long succeeded = 0;
    long inTime = 0;
    long rejected = 0;
    long failed = 0;
    long left = 0;
    long attempts = 0;
    double earnedValue = 0;
    double possibleValue = 0;
    for (ObservedRequest request : oracle.requests().values()) {
      boolean soon =
          request.status == 200 && request.answerUs - request.sentUs <= request.targetUs();
      succeeded += request.status == 200 ? 1 : 0;
      inTime += soon ? 1 : 0;
      rejected += request.status == 503 || request.status == 429 ? 1 : 0;
      failed +=
          request.over
                  && !request.excused
                  && request.status != 200
                  && request.status != 503
                  && request.status != 429
              ? 1
              : 0;
      left += request.excused ? 1 : 0;
      attempts += request.attempts.size();
      earnedValue += soon ? request.requestClass.priorityWeight() : 0;
      possibleValue +=
          request.attempt == 0 && !request.excused ? request.requestClass.priorityWeight() : 0;
    }
    Trace trace = world.trace();
    trace.note(
        "end",
        "ops",
        oracle.requests().size(),
        "acked",
        succeeded,
        "nacked",
        rejected,
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
        sidecars.all().stream().mapToLong(SidecarProcess::turns).sum(),
        time.now() - SimulationContext.START_US,
        oracle.requests().size(),
        succeeded,
        inTime,
        rejected,
        failed,
        left,
        clients.stream().mapToLong(EmulatedClients::notTaken).sum(),
        clients.stream().mapToLong(EmulatedClients::retries).sum(),
        attempts,
        earnedValue,
        possibleValue,
        sidecars.all().stream().mapToInt(s -> Math.max(0, s.starts() - 1)).sum());
  }
}
