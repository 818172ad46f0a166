package dillcross.emulator.cli;

import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import picocli.CommandLine;

/** Entry point of the emulator. */
public final class Main {
  private Main() {}

  public static void main(String[] args) {
    System.exit(run(args));
  }

  /**
   * Runs a command; the exit status is 0 if no rule is broken, 1 if one is, 2 for invalid input.
   */
  static int run(String... args) {
    // A sweep starts thousands of sidecars, each of which would log that it is ready.
    LogManager.getLogManager().reset();
    Logger.getLogger("dillcross").setLevel(Level.OFF);
    return new CommandLine(new EmulateCommand())
        .setExecutionExceptionHandler(new InvalidInputHandler())
        .execute(args);
  }
}
