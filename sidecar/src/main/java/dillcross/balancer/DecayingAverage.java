package dillcross.balancer;

/** A mean over time that fades exponentially over a span chosen at each call. */
final class DecayingAverage {
  private double value;
  private long updatedUs;

  /** Fades to {@code nowUs}, with {@code level} held since the last call, and returns the mean. */
  double update(double level, long nowUs, double spanUs) {
    value = level + (value - level) * Math.exp((updatedUs - nowUs) / spanUs);
    updatedUs = nowUs;
    return value;
  }

  /** Fades to {@code nowUs}, then adds one sample. */
  void add(double sample, long nowUs, double spanUs) {
    value = update(0, nowUs, spanUs) + sample;
  }
}
