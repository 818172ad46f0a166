package dillcross.emulator.scenario;

import dillcross.emulator.random.RandomStream;
import dillcross.emulator.time.TimeUnits;

/** A number that is drawn uniformly for each run, or a fixed one if both bounds are the same. */
public record Range(double min, double max) {
  /** A range of one value. */
  public static Range of(double value) {
    return new Range(value, value);
  }

  /** Draws a value. A fixed value consumes no random number. */
  public double draw(RandomStream random) {
    return max > min ? random.between(min, max) : min;
  }

  /** Draws a value in milliseconds and converts it to µs. */
  public long drawUs(RandomStream random) {
    return TimeUnits.toMicros(draw(random));
  }
}
