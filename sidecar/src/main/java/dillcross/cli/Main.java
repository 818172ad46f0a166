package dillcross.cli;

import picocli.CommandLine;

/** The entry point of the program. */
public final class Main {
  private static final String LOG_FORMAT_PROPERTY = "java.util.logging.SimpleFormatter.format";
  private static final String LOG_MANAGER_PROPERTY = "java.util.logging.manager";
  private static final String ONE_LINE_FORMAT = "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n";

  private Main() {}

  /** Runs the command that the arguments name, and exits with its status. */
  public static void main(String[] args) throws InterruptedException {
    if (System.getProperty(LOG_FORMAT_PROPERTY) == null) {
      System.setProperty(LOG_FORMAT_PROPERTY, ONE_LINE_FORMAT);
    }
    System.setProperty(LOG_MANAGER_PROPERTY, ShutdownLogManager.class.getName());
    // Parsing the command line takes a third of the start-up time, during which the clients of a
    // killed sidecar wait. The platform passes the one argument "serve", so parsing is skipped
    // for exactly that command line.
    boolean isPlainServe = args.length == 1 && args[0].equals("serve");
    System.exit(isPlainServe ? ServeCommand.run(null, null, false, 0) : parseAndRun(args));
  }

  private static int parseAndRun(String[] args) {
    return new CommandLine(new DillcrossCommand()).execute(args);
  }
}
