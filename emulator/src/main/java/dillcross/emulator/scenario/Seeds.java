package dillcross.emulator.scenario;

import java.util.List;

/** Seeds from one to another, as a command line names them. */
public record Seeds(long from, long to) {
  /** Of A..B, numbers of so many digits at the most; faulty where it is none, or names none. */
  public static Seeds of(String text, int digits) throws InvalidScenarioException {
    if (!text.matches("[0-9]{1," + digits + "}\\.\\.[0-9]{1," + digits + "}")) {
      throw new InvalidScenarioException(
          List.of("dillcross: --seeds takes two numbers as A..B, and not " + text));
    }
    Seeds seeds =
        new Seeds(
            Long.parseLong(text.substring(0, text.indexOf('.'))),
            Long.parseLong(text.substring(text.lastIndexOf('.') + 1)));
    if (seeds.to < seeds.from) {
      throw new InvalidScenarioException(List.of("dillcross: --seeds " + text + " names none"));
    }
    return seeds;
  }

  public long count() {
    return to - from + 1;
  }
}
