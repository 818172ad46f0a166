package dillcross.emulator.simulation;

import dillcross.emulator.oracle.Violation.Rule;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.time.TimeUnits;
import java.util.ArrayDeque;
import java.util.Locale;

/**
 * Capacity of an endpoint in slow start, and the check that sidecars do not overload it: the work
 * sent within a window of {@code rules.fall_ms} must not exceed {@code rules.fall_multiple} times
 * the work that the endpoint can execute in that window, apart from the scenario's tolerance {@code
 * slowStartSlack}.
 */
final class SlowStartMonitor {
  private record SentWork(long atUs, double workUs) {}

  private final SimulationContext context;
  private final EmulatedEndpoints endpoints;
  private final EmulatedEndpoint endpoint;
  private final ArrayDeque<SentWork> recentWork = new ArrayDeque<>();
  private double recentWorkUs;

  SlowStartMonitor(
      SimulationContext context, EmulatedEndpoints endpoints, EmulatedEndpoint endpoint) {
    this.context = context;
    this.endpoints = endpoints;
    this.endpoint = endpoint;
  }

  /** Current share of the endpoint's full capacity, in (0, 1]. */
  double capacityShare() {
    if (endpoint.isWarmFromStart()) {
      return 1;
    }
    double initialShare = context.sidecarSetting("rules.start_capacity");
    double warmUpUs = context.sidecarSetting("rules.warm_up_ms") * TimeUnits.MICROS_PER_MILLI;
    double ageUs = context.now() - endpoint.startedMs() * TimeUnits.MICROS_PER_MILLI;
    return ageUs >= warmUpUs ? 1 : initialShare + (1 - initialShare) * ageUs / warmUpUs;
  }

  /**
   * Records work that a sidecar sent, as the processing time in µs on one core of nominal speed.
   * Reports a violation if the endpoint is overloaded although all sidecars know of its slow start.
   */
  void recordSentWork(double workUs) {
    double windowUs = context.sidecarSetting("rules.fall_ms") * TimeUnits.MICROS_PER_MILLI;
    double share = capacityShare();
    if (share >= 1) {
      return;
    }
    recentWork.add(new SentWork(context.now(), workUs));
    recentWorkUs += workUs;
    while (!recentWork.isEmpty() && context.now() - recentWork.peek().atUs > windowUs) {
      recentWorkUs -= recentWork.poll().workUs;
    }
    double maxWorkUs = maxWorkUs(share, windowUs);
    if (recentWorkUs > maxWorkUs && endpoints.allKnowStart(endpoint)) {
      reportOverload(windowUs, maxWorkUs);
      clear();
    }
  }

  private double maxWorkUs(double share, double windowUs) {
    Scenario scenario = context.scenario();
    return context.sidecarSetting("rules.fall_multiple")
        * share
        * scenario.endpoints().cores()
        * endpoint.speed()
        * windowUs
        * scenario.rules().slowStartSlack();
  }

  private void reportOverload(double windowUs, double maxWorkUs) {
    String message =
        String.format(
            Locale.ROOT,
            "%s got %.0f ms of work within %.0f ms and bears %.0f",
            endpoint.id(),
            recentWorkUs / TimeUnits.MICROS_PER_MILLI,
            windowUs / TimeUnits.MICROS_PER_MILLI,
            maxWorkUs / TimeUnits.MICROS_PER_MILLI);
    context.oracle().report(Rule.COLD_KEPT, null, message);
  }

  /** Discards the recorded work, for instance because the process ended. */
  void clear() {
    recentWork.clear();
    recentWorkUs = 0;
  }
}
