package dillcross.emulator.cli;

import dillcross.emulator.scenario.InvalidScenarioException;
import picocli.CommandLine;

/** Reports an invalid scenario as the caller's fault, alike for every command. */
public final class InvalidInputHandler implements CommandLine.IExecutionExceptionHandler {
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
