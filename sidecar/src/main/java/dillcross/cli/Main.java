package dillcross.cli;

import picocli.CommandLine;

/** Where the program starts. */
public final class Main {
  private static final String LOG_FORMAT = "java.util.logging.SimpleFormatter.format";

  private Main() {}

  /** Runs the command that the arguments name, and exits with its status. */
  public static void main(String[] args) throws InterruptedException {
    if (System.getProperty(LOG_FORMAT) == null) {
      System.setProperty(LOG_FORMAT, "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n"); // one line a message
    }
    // As the platform starts it: the command line library takes a third of the start, and the
    // clients of a killed sidecar wait for that.
    boolean plain = args.length == 1 && args[0].equals("serve");
    System.exit(plain ? ServeCommand.run(null, null, false, 0) : runWithLibrary(args));
  }

  private static int runWithLibrary(String[] args) {
    return new CommandLine(new DillcrossCommand()).execute(args);
  }
}
