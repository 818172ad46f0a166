package dillcross.balancer;

import dillcross.model.BalancerSettings;

/**
 * Bounds what is in flight. By Little's law the answers of a second times their baseline latency
 * would be in flight without a queue; a multiple bounds the queue, and falls as answers slow down,
 * so that overloaded endpoints can rest.
 */
final class AdmissionControl {
  /** In flight at an endpoint by all sidecars together, before anything is known. */
  static final double INITIAL_LIMIT_PER_ENDPOINT = 3;

  private static final double QUEUE_FACTOR = 3.6; // times what is in flight without a queue
  private static final double SMALL_LIMIT = 3; // a larger one lets bursts pass at any time
  private static final double KNOWN_COVERAGE = 0.6; // of the span over which traffic is measured
  private static final double MIN_COVERAGE = 0.2; // extrapolates from no less of the span
  private static final double SLOWDOWN_EXPONENT = 3;
  private static final double BURST_FRACTION = 0.5; // of the limit, beyond the small one
  private static final double UNUSED_FACTOR = 2; // of what the mean left unused
  private static final double IDLE_PER_ENDPOINT = 0.5; // in flight by all sidecars together
  private static final double MIN_LIMIT_FACTOR = 0.25; // for the least valuable requests
  private static final double MAX_LIMIT_FACTOR = 2; // for the most valuable requests

  private final TrafficMeter traffic;
  private final InFlightTracker inFlight;
  private final SlowdownEstimator slowdown;
  private final EndpointSets endpoints;
  private int instances;

  AdmissionControl(
      TrafficMeter traffic,
      InFlightTracker inFlight,
      SlowdownEstimator slowdown,
      EndpointSets endpoints) {
    this.traffic = traffic;
    this.inFlight = inFlight;
    this.slowdown = slowdown;
    this.endpoints = endpoints;
  }

  void configure(BalancerSettings settings) {
    instances = settings.instanceCount();
  }

  /** How much may be in flight, in the mean. No floor of a request: over a fleet floors add up. */
  double concurrencyLimit(long nowUs) {
    double coverage = traffic.coverage(nowUs);
    double baseline = traffic.baselineConcurrency(nowUs) / Math.max(MIN_COVERAGE, coverage);
    double perEndpoint = coverage < KNOWN_COVERAGE ? INITIAL_LIMIT_PER_ENDPOINT : 1;
    double floor = perEndpoint * endpoints.available().size() / instances;
    double queue = QUEUE_FACTOR / Math.pow(Math.max(1, slowdown.value()), SLOWDOWN_EXPONENT);
    return Math.max(floor, queue * baseline);
  }

  /**
   * Whether there is capacity for one more; a small limit binds the mean, or thin traffic starves.
   */
  boolean admits(Request request, long nowUs) {
    double limit = concurrencyLimit(nowUs) * limitFactor(request);
    double belowMean = limit - inFlight.meanResponsive(nowUs);
    double burst = Math.sqrt(limit);
    double anyTime = Math.min(burst, BURST_FRACTION * (limit - SMALL_LIMIT));
    double allowance =
        Math.max(Math.max(-burst, anyTime), Math.min(burst, UNUSED_FACTOR * belowMean));
    return inFlight.responsive() < limit + allowance;
  }

  /**
   * The part of the limit that the request may use, by its value. A sidecar with little traffic
   * hardly ever has two requests waiting, so their ranks alone would not prefer valuable ones.
   */
  private static double limitFactor(Request request) {
    return Clamp.between(MIN_LIMIT_FACTOR, request.relativeValue(), MAX_LIMIT_FACTOR);
  }

  /** Whether so little is in flight that latency is no queue of ours. */
  boolean isNearlyIdle() {
    return inFlight.total()
        <= Math.max(1, IDLE_PER_ENDPOINT * endpoints.available().size() / instances);
  }
}
