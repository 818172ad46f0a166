package dillcross.emulator.scenario;

import dillcross.emulator.random.RandomStream;

/** A figure that is drawn for each day; one value where both ends are the same. */
public record Range(double min, double max) {
  public static Range of(double value) {
    return new Range(value, value);
  }

  public double draw(RandomStream random) {
    return max > min ? random.between(min, max) : min;
  }

  public long drawUs(RandomStream random) {
    return Math.round(draw(random) * 1000);
  }
}
