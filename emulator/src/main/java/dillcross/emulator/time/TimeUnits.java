package dillcross.emulator.time;

/** Conversions between the milliseconds of scenario files and the microseconds of the clock. */
public final class TimeUnits {
  /** Microseconds in a millisecond. */
  public static final long MICROS_PER_MILLI = 1_000;

  /** Microseconds in a second. */
  public static final long MICROS_PER_SECOND = 1_000_000;

  private TimeUnits() {}

  /** Milliseconds as whole microseconds, rounded to the nearest. */
  public static long toMicros(double millis) {
    return Math.round(millis * MICROS_PER_MILLI);
  }
}
