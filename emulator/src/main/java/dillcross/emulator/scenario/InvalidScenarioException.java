package dillcross.emulator.scenario;

import java.util.List;

/** A scenario that can't be used; each line names file, line and key. */
public final class InvalidScenarioException extends Exception {
  private static final long serialVersionUID = 1L;

  public InvalidScenarioException(List<String> faults) {
    super(String.join(System.lineSeparator(), faults));
  }
}
