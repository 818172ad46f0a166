package dillcross.balancer;

/**
 * Measures this sidecar's traffic as a whole, as exponentially decaying means. Their time constant,
 * the time span, is longer if there are few requests.
 */
final class TrafficMeter {
  private final DecayingAverage baselineConcurrency = new DecayingAverage();
  private final DecayingAverage successRate = new DecayingAverage(); // per microsecond
  private final DecayingAverage inFlight = new DecayingAverage();
  private double spanUs;
  private long firstSuccessUs; // 0 before the first successful answer

  void setSpan(double newSpanUs) {
    spanUs = newSpanUs;
  }

  void widenSpan(double minSpanUs) {
    spanUs = Math.max(spanUs, minSpanUs);
  }

  /**
   * Counts a successful answer to a request whose class has the baseline latency {@code
   * baselineLatencyUs}.
   */
  void recordSuccess(double baselineLatencyUs, long nowUs) {
    firstSuccessUs = firstSuccessUs == 0 ? nowUs : firstSuccessUs;
    baselineConcurrency.add(baselineLatencyUs / spanUs, nowUs, spanUs);
    successRate.add(1 / spanUs, nowUs, spanUs);
  }

  /** Mean rate of successful answers, per microsecond. */
  double successesPerUs(long nowUs) {
    return successRate.update(0, nowUs, spanUs);
  }

  /** How many attempts would be in flight on average without queueing, by Little's law. */
  double baselineConcurrency(long nowUs) {
    return baselineConcurrency.update(0, nowUs, spanUs);
  }

  /**
   * Mean number of attempts in flight, given that {@code current} have been since the last call.
   */
  double meanInFlight(int current, long nowUs) {
    return inFlight.update(current, nowUs, spanUs);
  }

  /**
   * Fraction of the time span that has been measured: 0 before the first successful answer, then
   * rising towards 1.
   */
  double coverage(long nowUs) {
    return firstSuccessUs == 0 ? 0 : 1 - Math.exp((firstSuccessUs - nowUs) / spanUs);
  }
}
