package dillcross.balancer;

/** Conversions between units of time. */
final class Units {
  static final double MICROS_PER_SECOND = 1e6;

  private Units() {}
}
