package dillcross.balancer;

/** Bounds values to a range. */
final class Clamp {
  private Clamp() {}

  /** Returns {@code value} limited to the range from {@code min} to {@code max}. */
  static double between(double min, double value, double max) {
    return Math.max(min, Math.min(max, value));
  }
}
