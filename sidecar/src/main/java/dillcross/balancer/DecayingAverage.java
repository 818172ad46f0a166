package dillcross.balancer;

/**
 * Measures an exponentially decaying mean over time. Each call gives the time constant {@code
 * spanUs}, in microseconds.
 */
final class DecayingAverage {
  private double value;
  private long updatedUs;

  /**
   * Returns the mean at {@code nowUs}, given that the value was {@code level} since the last call.
   */
  double update(double level, long nowUs, double spanUs) {
    value = level + (value - level) * Math.exp((updatedUs - nowUs) / spanUs);
    updatedUs = nowUs;
    return value;
  }

  /** Decays the mean over the time since the last call, then adds {@code sample} to it. */
  void add(double sample, long nowUs, double spanUs) {
    value = update(0, nowUs, spanUs) + sample;
  }
}
