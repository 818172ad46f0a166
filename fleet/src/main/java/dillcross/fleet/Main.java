package dillcross.fleet;

import dillcross.emulator.cli.InvalidInputHandler;
import picocli.CommandLine;

/** Where the rig starts. */
public final class Main {
  private Main() {}

  public static void main(String[] args) {
    System.setProperty("java.awt.headless", "true");
    System.setProperty(
        "sun.net.httpserver.nodelay",
        "true"); // or stand-ins answer 40 ms late, as heads and bodies go apart
    System.exit(run(args));
  }

  /** The exit status: 0 clean, 1 violations, 2 faulty input. */
  static int run(String... args) {
    return new CommandLine(new FleetCommand())
        .setExecutionExceptionHandler(new InvalidInputHandler())
        .execute(args);
  }
}
