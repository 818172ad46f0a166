package dillcross.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.InterruptedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the built program, with its log and the ports that it announces there. */
final class SidecarProcess {
  private static final Path DEPLOY_FILE = Path.of("../deploy/balancer.toml");
  private static final File WORKING_DIRECTORY = new File("..");
  private static final Pattern RUN_COMMAND = Pattern.compile("run = \"exec java (.*) serve\"");
  private static final Pattern ADMIN_PORT = Pattern.compile("endpoint on 127.0.0.1:([0-9]+)");
  private static final Pattern CLIENT_PORT = Pattern.compile("ready on 127.0.0.1:([0-9]+)");
  private static final Pattern PEAK_MEMORY = Pattern.compile("VmHWM:\\s*([0-9]+) kB");
  private static final long EXIT_TIMEOUT_S = 20;

  final Process process;

  /** The port for clients; 0 until {@link #awaitReady} has returned. */
  int port;

  /** The port of the admin endpoint; 0 until it is announced or if none is configured. */
  int adminPort;

  private final BlockingQueue<Optional<String>> log = new LinkedBlockingQueue<>(); // empty: its end

  private SidecarProcess(Process process) {
    this.process = process;
    // Read all the time, because the program would block on a full pipe.
    BackgroundTask.start(this::readLog);
  }

  private void readLog() throws IOException {
    try (BufferedReader lines =
        new BufferedReader(
            new InputStreamReader(process.getErrorStream(), StandardCharsets.UTF_8))) {
      lines.lines().map(Optional::of).forEach(log::add);
    } finally {
      log.add(Optional.empty());
    }
  }

  /** The next line of the log; empty at its end. */
  private Optional<String> nextLine() throws IOException {
    try {
      Optional<String> line = log.take();
      if (line.isEmpty()) {
        log.add(line); // for later calls
      }
      return line;
    } catch (InterruptedException e) {
      throw new InterruptedIOException("interrupted while waiting for the log");
    }
  }

  /**
   * Starts the program by the command line that {@code deploy/balancer.toml} contains.
   *
   * @param config the configuration file
   * @param launcher a command in front of that of the program, such as {@code prlimit}; may be
   *     empty
   * @param environment variables in addition to the one that names the configuration file
   */
  static SidecarProcess start(Path config, List<String> launcher, Map<String, String> environment)
      throws IOException {
    Matcher run = RUN_COMMAND.matcher(Files.readString(DEPLOY_FILE));
    assertTrue(run.find());
    List<String> command = new ArrayList<>(launcher);
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of(run.group(1).split(" ")));
    command.add("serve");
    ProcessBuilder builder = new ProcessBuilder(command).directory(WORKING_DIRECTORY);
    builder.environment().put("NODE_CONFIG", config.toString());
    builder.environment().putAll(environment);
    return new SidecarProcess(builder.start());
  }

  /** Reads the log, and the ports in it, until the sidecar is ready. */
  void awaitReady() throws IOException {
    Optional<String> line = nextLine();
    while (line.isPresent()) {
      Matcher admin = ADMIN_PORT.matcher(line.get());
      if (admin.find()) {
        adminPort = Integer.parseInt(admin.group(1));
      }
      Matcher client = CLIENT_PORT.matcher(line.get());
      if (client.find()) {
        port = Integer.parseInt(client.group(1));
        return;
      }
      line = nextLine();
    }
    throw new AssertionError("the sidecar ended before it was ready");
  }

  /** Reads the log up to a line that contains this text; fails if there is none. */
  String awaitLogLine(String text) throws IOException {
    Optional<String> line;
    do {
      line = nextLine();
      assertTrue(line.isPresent(), "no log line with " + text);
    } while (!line.get().contains(text));
    return line.get();
  }

  /** Reads the lines that remain in the log until the program ends. */
  List<String> remainingLog() throws IOException {
    List<String> lines = new ArrayList<>();
    for (Optional<String> line = nextLine(); line.isPresent(); line = nextLine()) {
      lines.add(line.get());
    }
    return lines;
  }

  /** Sends the process a signal, named without SIG, such as {@code TERM}. */
  void signal(String name) throws Exception {
    String pid = String.valueOf(process.pid());
    assertEquals(0, new ProcessBuilder("kill", "-" + name, pid).start().waitFor());
  }

  /** Waits up to 20 s for the process to end; returns whether it has ended. */
  boolean exitsInTime() throws InterruptedException {
    return process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS);
  }

  /** A file of the process below {@code /proc}. */
  Path procFile(String name) {
    return Path.of("/proc", String.valueOf(process.pid()), name);
  }

  /** The largest resident memory of the process so far, in kB. */
  int peakMemoryKilobytes() throws IOException {
    return peakMemoryKilobytes(process.toHandle());
  }

  /** The largest resident memory of a process so far, in kB. */
  static int peakMemoryKilobytes(ProcessHandle process) throws IOException {
    Path status = Path.of("/proc", String.valueOf(process.pid()), "status");
    Matcher peak = PEAK_MEMORY.matcher(Files.readString(status));
    assertTrue(peak.find());
    return Integer.parseInt(peak.group(1));
  }

  /** Kills the process and all processes that it has started. */
  void kill() throws InterruptedException {
    process.descendants().forEach(ProcessHandle::destroyForcibly);
    process.destroyForcibly().waitFor();
  }
}
