package dillcross.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One sidecar process. It is started by a guard, a shell that waits for end of file on its standard
 * input and then kills the sidecar. The pipe closes however this JVM ends, SIGKILL included, so no
 * sidecar outlives it. Signals are sent to the sidecar's own process id only.
 */
final class ChildProcess implements AutoCloseable {
  private static final Pattern ADMIN = Pattern.compile(".*admin endpoint on ([0-9.:]+).*");
  private static final Pattern MEMBERSHIP = Pattern.compile(".*membership on ([0-9.:]+) as .*");
  private static final Pattern READY = Pattern.compile(".*ready on ([0-9.:]+) after.*");
  private final Process guard;
  private final long pid;
  private final CompletableFuture<String> admin = new CompletableFuture<>();
  private final CompletableFuture<String> ready = new CompletableFuture<>();
  final long startedNs = System.nanoTime();

  /**
   * Starts the process and a thread that reads its output.
   *
   * @param root the working directory of the process
   * @param log the file to which the output of the process is appended
   * @param boundAddress receives the {@code host:port} to which the membership socket is bound, on
   *     the reading thread
   */
  ChildProcess(
      List<String> command, Path root, Path log, java.util.function.Consumer<String> boundAddress)
      throws IOException {
    List<String> guardCommand =
        new ArrayList<>(
            List.of(
                "sh",
                "-c",
                "\"$@\" <&- 2>&1 & echo $!; cat >/dev/null; kill -9 $! 2>/dev/null",
                "guard"));
    guardCommand.addAll(command);
    guard =
        new ProcessBuilder(guardCommand).directory(root.toFile()).redirectErrorStream(true).start();
    BufferedReader output =
        new BufferedReader(new InputStreamReader(guard.getInputStream(), StandardCharsets.UTF_8));
    pid = Long.parseLong(output.readLine());
    Thread reader =
        new Thread(
            () -> {
              try (var logWriter =
                  Files.newBufferedWriter(
                      log,
                      java.nio.file.StandardOpenOption.CREATE,
                      java.nio.file.StandardOpenOption.APPEND)) {
                for (String line; (line = output.readLine()) != null; ) {
                  logWriter.write(line + "\n");
                  logWriter.flush();
                  Matcher matcher = MEMBERSHIP.matcher(line);
                  if (matcher.matches()) {
                    boundAddress.accept(matcher.group(1));
                  }
                  completeIfMatching(ADMIN, line, admin);
                  completeIfMatching(READY, line, ready);
                }
              } catch (IOException | UncheckedIOException closed) {
                admin.completeExceptionally(closed);
              }
              IOException ended =
                  new IOException("sidecar process " + pid + " ended; its output is in " + log);
              admin.completeExceptionally(ended);
              ready.completeExceptionally(ended);
            },
            "log " + pid);
    reader.setDaemon(true);
    reader.start();
  }

  private static void completeIfMatching(
      Pattern pattern, String line, CompletableFuture<String> announced) {
    Matcher matcher = pattern.matcher(line);
    if (matcher.matches()) {
      announced.complete(matcher.group(1));
    }
  }

  private static String await(CompletableFuture<String> announced)
      throws IOException, InterruptedException {
    try {
      return announced.get(30, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException(
          "sidecar did not announce its address"
              + (e instanceof TimeoutException ? " within 30 s" : ": " + e.getMessage()),
          e);
    }
  }

  /**
   * The {@code host:port} of the admin endpoint; waits up to 30 s for the process to log it.
   *
   * @throws IOException if the process ends or does not log it in time
   */
  String admin() throws IOException, InterruptedException {
    return await(admin);
  }

  /**
   * The {@code host:port} at which clients are served; waits up to 30 s for the process to be
   * ready.
   *
   * @throws IOException if the process ends or is not ready in time
   */
  String address() throws IOException, InterruptedException {
    return await(ready);
  }

  /** The {@code host:port} of the admin endpoint; null until the process has logged it. */
  String adminNow() {
    return admin.isDone() && !admin.isCompletedExceptionally() ? admin.join() : null;
  }

  /** The {@code host:port} at which clients are served; null until the process is ready. */
  String addressNow() {
    return ready.isDone() && !ready.isCompletedExceptionally() ? ready.join() : null;
  }

  long pid() {
    return pid;
  }

  boolean alive() {
    return ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false);
  }

  /**
   * Sends a signal to the process, if it is alive.
   *
   * @param name STOP, CONT, TERM or KILL
   */
  void signal(String name) throws IOException, InterruptedException {
    if (alive()) {
      new ProcessBuilder("kill", "-" + name, Long.toString(pid))
          .redirectErrorStream(true)
          .start()
          .waitFor();
    }
  }

  /**
   * CPU time that the process has used since its start, in milliseconds; 0 if the process has ended
   * or the system does not report it.
   */
  long cpuMs() {
    return ProcessHandle.of(pid)
        .flatMap(p -> p.info().totalCpuDuration())
        .map(java.time.Duration::toMillis)
        .orElse(0L);
  }

  @Override
  public void close() throws IOException {
    // At end of file, the guard kills the sidecar, even one that is stopped by SIGSTOP.
    guard.getOutputStream().close();
    try {
      if (!guard.waitFor(5, TimeUnit.SECONDS)) {
        guard.destroyForcibly();
      }
    } catch (InterruptedException e) {
      guard.destroyForcibly();
      Thread.currentThread().interrupt();
    }
  }
}
