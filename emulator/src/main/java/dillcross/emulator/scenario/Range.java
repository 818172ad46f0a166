package dillcross.emulator.scenario;

import dillcross.emulator.chance.Chance;

/** A figure that is drawn for each day; one value where both ends are the same. */
public record Range(double least, double most) {
  public static Range of(double value) {
    return new Range(value, value);
  }

  public double draw(Chance chance) {
    return most > least ? chance.between(least, most) : least;
  }

  public long drawUs(Chance chance) {
    return Math.round(draw(chance) * 1000);
  }
}
