package dillcross.balancer;

/** Measures a mean over time that decays exponentially; each call states the time span. */
final class DecayingAverage {
  private double value;
  private long updatedUs;

  /** The mean at {@code nowUs}, where the value was {@code level} since the last call. */
  double update(double level, long nowUs, double spanUs) {
    value = level + (value - level) * Math.exp((updatedUs - nowUs) / spanUs);
    updatedUs = nowUs;
    return value;
  }

  /** Adds one sample at {@code nowUs}. */
  void add(double sample, long nowUs, double spanUs) {
    value = update(0, nowUs, spanUs) + sample;
  }
}
