package dillcross.emulator.cli;

import dillcross.emulator.scenario.InvalidScenarioException;
import picocli.CommandLine;

/**
 * Prints the message of an invalid scenario or argument and exits with status 2, without a stack
 * trace.
 */
public final class InvalidInputHandler implements CommandLine.IExecutionExceptionHandler {
  private static final int EXIT_INVALID_INPUT = 2;

  @Override
  public int handleExecutionException(Exception e, CommandLine line, CommandLine.ParseResult parsed)
      throws Exception {
    if (!(e instanceof InvalidScenarioException)) {
      throw e;
    }
    System.err.println(e.getMessage());
    return EXIT_INVALID_INPUT;
  }
}
