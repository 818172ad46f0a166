package dillcross.emulator.simulation;

import dillcross.emulator.network.VirtualNetwork;
import dillcross.emulator.oracle.Oracle;
import dillcross.emulator.oracle.Violation;
import dillcross.emulator.oracle.Violation.Rule;
import dillcross.emulator.random.RandomStream;
import dillcross.emulator.scenario.Fault.Drawn;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.time.TimeUnits;
import dillcross.emulator.time.VirtualClock;
import dillcross.emulator.trace.Trace;
import dillcross.net.ResourceUsage;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * One simulation run of a scenario, on the calling thread. Runs share no state, and the same
 * scenario, seed and faults always give the same result.
 */
public final class Simulation {
  /** Time from the start of the sidecars to the first arrival. */
  private static final long WARM_UP_US = 1_000_000;

  /** Maximum time to wait for open requests after the last arrival. */
  private static final long MAX_COMPLETION_US = 600_000_000;

  private static final long COMPLETION_POLL_US = 100_000;

  /**
   * Time after the last request, beyond the idle timeout of connections, by which sidecars should
   * have released everything.
   */
  private static final long SETTLE_US = 2_500_000;

  /** Maximum further time in seconds for sidecars that have not released everything in time. */
  private static final int MAX_EXTRA_SETTLE_SECONDS = 30;

  /** Buffer memory in bytes that an idle connection may keep. */
  private static final long IDLE_CONNECTION_BYTES = 14 << 10;

  /** Maximum number of timers of an idle sidecar: for the endpoint list and the load balancer. */
  private static final int MAX_IDLE_TIMERS = 3;

  private static final int DISCOVERY_CONNECTIONS = 1;

  /**
   * The outcome of a run.
   *
   * @param seed seed of the run
   * @param faults the faults of the run, drawn or given
   * @param violations the first violations of the oracle's rules, in the order of their detection
   * @param violationCount number of all violations
   * @param digest digest of the trace
   * @param steps number of events that ran on the virtual clock
   * @param iterations number of event loop iterations of all sidecars
   * @param simulatedUs virtual duration of the run in µs
   * @param requests number of requests, including retries
   * @param succeeded number of requests answered with status 200
   * @param inTime number of requests answered with status 200 within their latency objective
   * @param rejected number of requests that sidecars rejected
   * @param failed number of requests that neither succeeded nor were rejected, although an answer
   *     was due
   * @param excused number of requests for which no answer was due, as their client left or no
   *     process could answer
   * @param notAccepted number of requests whose connection no sidecar process accepted
   * @param retries number of retries by clients
   * @param attempts number of attempts that reached endpoints
   * @param earnedValue sum of the priority weights of requests answered in time
   * @param possibleValue sum of the priority weights of all requests for which an answer was due,
   *     not counting retries
   * @param restarts number of restarts of sidecar processes
   */
  public record Result(
      long seed,
      List<Drawn> faults,
      List<Violation> violations,
      long violationCount,
      String digest,
      long steps,
      long iterations,
      long simulatedUs,
      long requests,
      long succeeded,
      long inTime,
      long rejected,
      long failed,
      long excused,
      long notAccepted,
      long retries,
      long attempts,
      double earnedValue,
      double possibleValue,
      int restarts) {
    /** Whether the oracle found no violation of its rules. */
    public boolean clean() {
      return violationCount == 0;
    }
  }

  private final Scenario scenario;
  private final long seed;
  private final List<Drawn> drawn;
  private final SimulationContext context;
  private final Oracle oracle;
  private final VirtualClock clock = new VirtualClock(SimulationContext.START_US);
  private final SidecarProcesses sidecars;
  private final List<EmulatedClients> clients = new ArrayList<>();
  private final FaultInjector faults;

  private Simulation(
      Scenario scenario,
      long seed,
      List<Drawn> drawn,
      OutputStream lines,
      Trace.Listener listener) {
    this.scenario = scenario;
    this.seed = seed;
    this.drawn = drawn;
    RandomStream random = RandomStream.of(seed);
    VirtualNetwork network = network(scenario.network(), clock, random.named("network"));
    Trace trace =
        new Trace(
            lines, () -> clock.now() - SimulationContext.START_US, network::checksum, listener);
    oracle = new Oracle(clock::now, SimulationContext.START_US, scenario);
    context = new SimulationContext(scenario, clock, random, network, oracle, trace);
    DiscoveryService discovery = new DiscoveryService(context);
    EmulatedEndpoints endpoints = new EmulatedEndpoints(context, discovery);
    sidecars = new SidecarProcesses(context, discovery);
    endpoints.sidecars(sidecars);
    discovery.sidecars(sidecars);
    sidecars.all().forEach(sidecar -> clients.add(new EmulatedClients(context, sidecar)));
    faults = new FaultInjector(context, endpoints, discovery, sidecars, clients);
  }

  private static VirtualNetwork network(
      Scenario.NetworkSettings settings, VirtualClock clock, RandomStream random) {
    return new VirtualNetwork(
        clock,
        random,
        Math.round(settings.sameZoneDelayUs()),
        Math.round(settings.otherZoneDelayUs()),
        Math.round(settings.jitterUs()));
  }

  /** Runs the scenario with the faults drawn from the seed. */
  public static Result run(Scenario scenario, long seed) {
    List<Drawn> drawn = FaultInjector.draw(scenario, RandomStream.of(seed));
    return run(scenario, seed, drawn, OutputStream.nullOutputStream(), null);
  }

  /**
   * Runs the scenario with the given faults instead of drawn ones.
   *
   * @param lines receives the trace
   * @param listener receives each event of the trace as it happens; null for none
   */
  public static Result run(
      Scenario scenario,
      long seed,
      List<Drawn> drawn,
      OutputStream lines,
      Trace.Listener listener) {
    return new Simulation(scenario, seed, drawn, lines, listener).execute();
  }

  private Result execute() {
    context.note("day", "scenario", scenario.name(), "seed", seed);
    sidecars.all().forEach(SidecarProcess::boot);
    runUntil(SimulationContext.START_US + WARM_UP_US);
    long firstArrivalUs = clock.now();
    long lastArrivalUs =
        firstArrivalUs + Math.round(scenario.seconds() * TimeUnits.MICROS_PER_SECOND);
    drawn.forEach(fault -> faults.schedule(fault, firstArrivalUs));
    clients.forEach(ofSidecar -> ofSidecar.start(lastArrivalUs));
    runUntil(lastArrivalUs);
    awaitOpenRequests(lastArrivalUs + MAX_COMPLETION_US);
    awaitFaults(firstArrivalUs);
    awaitIdleSidecars();
    checkIdle();
    oracle.requests().values().forEach(oracle::timedOut);
    return result();
  }

  private void runUntil(long untilUs) {
    boolean hasEvents = true;
    while (hasEvents) {
      hasEvents = clock.step(untilUs);
    }
  }

  private void awaitOpenRequests(long untilUs) {
    while (clients.stream().anyMatch(ofSidecar -> ofSidecar.openCount() > 0)
        && clock.now() < untilUs) {
      runUntil(clock.now() + COMPLETION_POLL_US);
    }
  }

  private void awaitFaults(long firstArrivalUs) {
    long lastEndUs =
        drawn.stream().mapToLong(fault -> fault.atUs() + fault.forUs()).max().orElse(0);
    long graceUs = TimeUnits.toMicros(scenario.endpoints().graceMs());
    runUntil(Math.max(clock.now(), firstArrivalUs + lastEndUs + graceUs));
  }

  private void awaitIdleSidecars() {
    long idleTimeoutUs = TimeUnits.toMicros(context.sidecarSetting("limits.keepalive_ms"));
    runUntil(clock.now() + SETTLE_US + idleTimeoutUs);
    int extraSeconds = 0;
    while (extraSeconds < MAX_EXTRA_SETTLE_SECONDS
        && !sidecars.all().stream().allMatch(Simulation::isIdle)) {
      runUntil(clock.now() + TimeUnits.MICROS_PER_SECOND);
      extraSeconds++;
    }
  }

  private void checkIdle() {
    for (SidecarProcess sidecar : sidecars.all()) {
      if (!isIdle(sidecar)) {
        String message =
            " with "
                + sidecar.connectionCount()
                + " connections still holds "
                + unreleased(sidecar);
        oracle.report(Rule.BACK_TO_REST, null, sidecar.name() + message);
      }
    }
  }

  /**
   * Whether the sidecar holds no request, attempt or connection to an endpoint, and no more timers
   * and buffer memory than an idle sidecar may. True while its process does not run.
   */
  private static boolean isIdle(SidecarProcess sidecar) {
    ResourceUsage usage = sidecar.usage();
    return usage == null
        || (endpointConnections(sidecar) <= 0
            && usage.trackedRequests() + usage.attempts() + usage.openRequests() == 0
            && usage.timers() <= MAX_IDLE_TIMERS
            && usage.bufferBytes() <= IDLE_CONNECTION_BYTES * sidecar.connectionCount());
  }

  private static int endpointConnections(SidecarProcess sidecar) {
    return sidecar.connectionCount() - sidecar.app().connectionCount() - DISCOVERY_CONNECTIONS;
  }

  private static String unreleased(SidecarProcess sidecar) {
    int connections = endpointConnections(sidecar);
    String suffix = connections > 0 ? " and " + connections + " connections to endpoints" : "";
    return sidecar.usage() + suffix;
  }

  private Result result() {
    RunStatistics statistics = new RunStatistics();
    oracle.requests().values().forEach(statistics::add);
    noteEnd(statistics);
    return new Result(
        seed,
        drawn,
        oracle.violations(),
        oracle.violationCount(),
        context.trace().end(),
        clock.steps(),
        sidecars.all().stream().mapToLong(SidecarProcess::iterations).sum(),
        clock.now() - SimulationContext.START_US,
        statistics.requests(),
        statistics.succeeded(),
        statistics.inTime(),
        statistics.rejected(),
        statistics.failed(),
        statistics.excused(),
        clients.stream().mapToLong(EmulatedClients::notAcceptedCount).sum(),
        clients.stream().mapToLong(EmulatedClients::retryCount).sum(),
        statistics.attempts(),
        statistics.earnedValue(),
        statistics.possibleValue(),
        sidecars.all().stream().mapToInt(Simulation::restarts).sum());
  }

  private static int restarts(SidecarProcess sidecar) {
    return Math.max(0, sidecar.startCount() - 1);
  }

  private void noteEnd(RunStatistics statistics) {
    context.note(
        "end",
        "ops",
        statistics.requests(),
        "acked",
        statistics.succeeded(),
        "nacked",
        statistics.rejected(),
        "failed",
        statistics.failed(),
        "violations",
        oracle.violationCount());
  }
}
