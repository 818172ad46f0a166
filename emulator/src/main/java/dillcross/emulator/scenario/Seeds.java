package dillcross.emulator.scenario;

import java.util.List;

/** An inclusive range of seeds, as given on a command line. */
public record Seeds(long from, long to) {
  /**
   * Parses {@code A..B}.
   *
   * @param digits maximum number of digits of each seed
   * @throws InvalidScenarioException if the text has another form or B is less than A
   */
  public static Seeds of(String text, int digits) throws InvalidScenarioException {
    if (!text.matches("[0-9]{1," + digits + "}\\.\\.[0-9]{1," + digits + "}")) {
      throw new InvalidScenarioException(
          List.of("dillcross: --seeds has to be a range A..B, but is " + text));
    }
    Seeds seeds =
        new Seeds(
            Long.parseLong(text.substring(0, text.indexOf('.'))),
            Long.parseLong(text.substring(text.lastIndexOf('.') + 1)));
    if (seeds.to < seeds.from) {
      throw new InvalidScenarioException(
          List.of("dillcross: --seeds " + text + " is an empty range"));
    }
    return seeds;
  }

  /** Number of seeds. */
  public long count() {
    return to - from + 1;
  }
}
