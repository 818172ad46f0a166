package dillcross.fleet;

import dillcross.emulator.cli.InvalidInputHandler;
import picocli.CommandLine;

/** Entry point of the fleet test tool. */
public final class Main {
  private Main() {}

  public static void main(String[] args) {
    System.setProperty("java.awt.headless", "true");
    // The stand-in HTTP servers send header and body in separate segments; without TCP_NODELAY,
    // Nagle's algorithm and delayed ACKs delay each response by 40 ms.
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.exit(run(args));
  }

  /** Runs a command and returns its exit status: 0 success, 1 violations, 2 invalid input. */
  static int run(String... args) {
    return new CommandLine(new FleetCommand())
        .setExecutionExceptionHandler(new InvalidInputHandler())
        .execute(args);
  }
}
