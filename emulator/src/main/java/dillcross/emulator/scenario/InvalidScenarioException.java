package dillcross.emulator.scenario;

import java.util.List;

/** Thrown for invalid input. Each line of the message names the file, the line and the key. */
public final class InvalidScenarioException extends Exception {
  private static final long serialVersionUID = 1L;

  /** The message has one line per error. */
  public InvalidScenarioException(List<String> errors) {
    super(String.join(System.lineSeparator(), errors));
  }
}
