package dillcross.balancer;

/**
 * Measures this sidecar's traffic as a whole, as means over a time span that is longer where there
 * are few requests.
 */
final class TrafficMeter {
  private final DecayingAverage baselineConcurrency = new DecayingAverage();
  private final DecayingAverage successRate = new DecayingAverage(); // per microsecond
  private final DecayingAverage inFlight = new DecayingAverage();
  private double spanUs;
  private long firstSuccessUs;

  void setSpan(double newSpanUs) {
    spanUs = newSpanUs;
  }

  void widenSpan(double minSpanUs) {
    spanUs = Math.max(spanUs, minSpanUs);
  }

  /** Counts a successful answer of a class with that baseline latency. */
  void recordSuccess(double baselineLatencyUs, long nowUs) {
    firstSuccessUs = firstSuccessUs == 0 ? nowUs : firstSuccessUs;
    baselineConcurrency.add(baselineLatencyUs / spanUs, nowUs, spanUs);
    successRate.add(1 / spanUs, nowUs, spanUs);
  }

  /** Successful answers per microsecond. */
  double successesPerUs(long nowUs) {
    return successRate.update(0, nowUs, spanUs);
  }

  /** How many attempts would be in flight without queueing, by Little's law. */
  double baselineConcurrency(long nowUs) {
    return baselineConcurrency.update(0, nowUs, spanUs);
  }

  /** Mean attempts in flight, where {@code current} have been since the last call. */
  double meanInFlight(int current, long nowUs) {
    return inFlight.update(current, nowUs, spanUs);
  }

  /** How much of the span has been measured: 0 before the first answer, towards 1. */
  double coverage(long nowUs) {
    return firstSuccessUs == 0 ? 0 : 1 - Math.exp((firstSuccessUs - nowUs) / spanUs);
  }
}
