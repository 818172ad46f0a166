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
          "Host many instances of the decision module on the simulator's wire (stdin, stdout).")
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
      description = "Run one sidecar: listen for clients, send to endpoints, follow the list.")
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
                  "What operators switch on, as TOML (default: $NODE_OPERATOR; without it all of it is off).")
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
      description = "Show the other members that a running sidecar knows of.",
      exitCodeListHeading = "%nExit status:%n",
      exitCodeList = {"0:shown", "1:no answer, or it knows of no others", "2:faulty input"})
  int members(
      @Parameters(paramLabel = "ADDR", description = "Its admin endpoint (admin_addr).")
          String admin,
      @Option(names = "--json", description = "As the admin endpoint gives it.") boolean json) {
    return MembersCommand.show(admin, json, System.out, System.err);
  }

  /** Created on first use: its initialisation costs CPU time that a simulator run is billed for. */
  private static Logger log() {
    return Logger.getLogger(DillcrossCommand.class.getName());
  }

  /** The version, from a resource that the build writes. */
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
