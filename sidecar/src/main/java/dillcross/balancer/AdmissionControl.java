package dillcross.balancer;

import dillcross.model.BalancerSettings;

/**
 * Decides whether one more attempt may be in flight, by the concurrency limit of this sidecar and
 * the part of it that a request may use.
 *
 * <p>By Little's law, the rate of successful answers times their baseline latency is the
 * concurrency without queueing. The limit, in attempts, is a multiple of it:
 *
 * <pre>limit = baselineConcurrency x QUEUE_FACTOR / max(1, slowdown) ^ SLOWDOWN_EXPONENT</pre>
 *
 * The multiple allows short queues at the endpoints; it falls as answers slow down, so that
 * overloaded endpoints recover. The smallest limit is this sidecar's part of a constant per
 * endpoint and may be below one attempt, because a minimum of one attempt per sidecar would add up
 * over many sidecars.
 */
final class AdmissionControl {
  /** Attempts in flight per endpoint that all sidecars together allow until traffic is measured. */
  static final double INITIAL_LIMIT_PER_ENDPOINT = 3;

  // Limit without a slowdown, as a multiple of the concurrency without queueing; higher: longer
  // queues at the endpoints.
  private static final double QUEUE_FACTOR = 3.6;

  // Limit, in attempts, above which a burst may exceed the limit even while the mean number of
  // attempts in flight exceeds it too.
  private static final double SMALL_LIMIT = 3;

  // Measured fraction of the traffic meter's time span from which the smallest limit is no longer
  // INITIAL_LIMIT_PER_ENDPOINT.
  private static final double KNOWN_COVERAGE = 0.6;

  // Traffic measured during a fraction of the traffic meter's time span is extrapolated to the
  // whole span, at most by the inverse of this fraction.
  private static final double MIN_COVERAGE = 0.2;

  private static final double SLOWDOWN_EXPONENT = 3; // higher: limit falls faster in overload

  // Fraction of the excess of a limit over SMALL_LIMIT by which a burst may exceed the limit at
  // any time.
  private static final double BURST_FRACTION = 0.5;

  // Multiple, of the limit less the mean number of attempts in flight, by which a burst may exceed
  // the limit.
  private static final double UNUSED_FACTOR = 2;

  // Attempts in flight per endpoint, by all sidecars together, up to which the load is negligible.
  private static final double IDLE_PER_ENDPOINT = 0.5;

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

  /** The concurrency limit: how many attempts may be in flight on average over time. */
  double concurrencyLimit(long nowUs) {
    double coverage = traffic.coverage(nowUs);
    double baseline = traffic.baselineConcurrency(nowUs) / Math.max(MIN_COVERAGE, coverage);
    double perEndpoint = coverage < KNOWN_COVERAGE ? INITIAL_LIMIT_PER_ENDPOINT : 1;
    double floor = perEndpoint * endpoints.available().size() / instances;
    double queue = QUEUE_FACTOR / Math.pow(Math.max(1, slowdown.value()), SLOWDOWN_EXPONENT);
    return Math.max(floor, queue * baseline);
  }

  /**
   * Whether an attempt of the request may be sent now. While the mean number of attempts in flight
   * is below the limit, a burst may exceed the limit by up to its square root. While the mean is
   * above the limit, a limit below {@link #SMALL_LIMIT} is lowered, and a larger one may still be
   * exceeded by a smaller burst.
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
   * The multiple of the concurrency limit that the request may use, by its relative value. Queue
   * ranks alone would not prefer valuable requests, because a sidecar with little traffic hardly
   * ever has two waiting.
   */
  private static double limitFactor(Request request) {
    return Clamp.between(MIN_LIMIT_FACTOR, request.relativeValue(), MAX_LIMIT_FACTOR);
  }

  /**
   * Whether so few attempts are in flight that this sidecar's load can't cause queueing latency.
   */
  boolean isNearlyIdle() {
    return inFlight.total()
        <= Math.max(1, IDLE_PER_ENDPOINT * endpoints.available().size() / instances);
  }
}
