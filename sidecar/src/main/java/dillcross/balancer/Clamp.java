package dillcross.balancer;

/** Bounds values to a range. */
final class Clamp {
  private Clamp() {}

  /** The nearest to {@code value} of what lies between {@code min} and {@code max}. */
  static double between(double min, double value, double max) {
    return Math.max(min, Math.min(max, value));
  }
}
