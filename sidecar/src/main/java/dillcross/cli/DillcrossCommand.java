package dillcross.cli;

import dillcross.simulator.MalformedInputException;
import dillcross.simulator.SimulatorSession;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Properties;
import java.util.logging.Logger;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command line: subcommands, options and exit statuses. */
@Command(
    name = "dillcross",
    mixinStandardHelpOptions = true,
    versionProvider = DillcrossCommand.Version.class,
    description = "Client-side load balancer that runs as a sidecar beside each calling process.")
final class DillcrossCommand implements Runnable {
  private static final int OUTPUT_BUFFER_BYTES = 1 << 16;
  private static final int EXIT_MALFORMED_INPUT = 3;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "Missing command");
  }

  @Command(
      name = "simhost",
      mixinStandardHelpOptions = true,
      versionProvider = Version.class,
      description =
          "Host many instances of the decision module for the simulator, on stdin and stdout.")
  int simhost() throws IOException {
    OutputStream stdout = new FileOutputStream(FileDescriptor.out);
    try (OutputStream out = new BufferedOutputStream(stdout, OUTPUT_BUFFER_BYTES)) {
      new SimulatorSession(System.in, out).run();
      return 0;
    } catch (MalformedInputException e) {
      log().severe(e.getMessage());
      return EXIT_MALFORMED_INPUT;
    }
  }

  @Command(
      name = "serve",
      mixinStandardHelpOptions = true,
      versionProvider = Version.class,
      description = "Run one sidecar, which forwards clients' requests to endpoints.")
  int serve(
      @Option(
              names = "--config",
              paramLabel = "FILE",
              description = "Configuration as JSON (default: $NODE_CONFIG).")
          String file,
      @Option(names = "--check", description = "Check the configuration, start, warm up and exit.")
          boolean check,
      @Option(
              names = "--operator",
              paramLabel = "FILE",
              description =
                  "Operator settings as TOML (default: $NODE_OPERATOR; if that is not set, all are off).")
          String operator,
      @Option(names = "--clock-shift-ms", paramLabel = "MS", hidden = true, defaultValue = "0")
          long shiftMs)
      throws InterruptedException {
    return ServeCommand.run(file, operator, check, shiftMs);
  }

  @Command(
      name = "members",
      mixinStandardHelpOptions = true,
      versionProvider = Version.class,
      description = "Show the members that a running sidecar knows.",
      exitCodeListHeading = "%nExit status:%n",
      exitCodeList = {
        "0:members shown",
        "1:no answer, or membership is off there",
        "2:invalid address or option"
      })
  int members(
      @Parameters(paramLabel = "ADDR", description = "Address and port of its admin endpoint.")
          String admin,
      @Option(names = "--json", description = "Print the JSON of the admin endpoint.")
          boolean json) {
    return MembersCommand.show(admin, json, System.out, System.err);
  }

  /**
   * The logger, created on first use only, as the simulator counts the CPU time of a run, which the
   * initialisation of the logger would add to.
   */
  private static Logger log() {
    return Logger.getLogger(DillcrossCommand.class.getName());
  }

  /** Reads the version of the program from a resource that the build writes. */
  static final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() throws IOException {
      Properties built = new Properties();
      try (InputStream in = DillcrossCommand.class.getResourceAsStream("/dillcross.properties")) {
        built.load(in);
      }
      return new String[] {"dillcross " + built.getProperty("version")};
    }
  }
}
