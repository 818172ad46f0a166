package dillcross.emulator.cli;

import dillcross.emulator.scenario.InvalidScenarioException;
import picocli.CommandLine;

/** Input that can't be used is said and no failure of ours, for each command alike. */
public final class InvalidInputException implements CommandLine.IExecutionExceptionHandler {
  private static final int STATUS = 2;

  @Override
  public int handleExecutionException(Exception e, CommandLine line, CommandLine.ParseResult parsed)
      throws Exception {
    if (!(e instanceof InvalidScenarioException)) {
      throw e;
    }
    System.err.println(e.getMessage());
    return STATUS;
  }
}
