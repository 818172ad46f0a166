package dillcross.emulator.cli;

import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import picocli.CommandLine;

/** Where the emulator starts. */
public final class Main {
  private Main() {}

  public static void main(String[] args) {
    System.exit(run(args));
  }

  /** The exit status: 0 clean, 1 rules broken, 2 faulty input. */
  static int run(String... args) {
    LogManager.getLogManager().reset(); // thousands of sidecars say each that they are ready
    Logger.getLogger("dillcross").setLevel(Level.OFF);
    return new CommandLine(new EmulateCommand())
        .setExecutionExceptionHandler(new InvalidInputHandler())
        .execute(args);
  }
}
