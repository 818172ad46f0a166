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
 * One process of the program, a child of this one. A guard (a shell that waits for the end of its
 * input) stands beside it and kills it when this process ends in whatever way: nothing is left
 * behind, also after SIGKILL. Signals go to this child's own process id alone.
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

  /** {@code log} gets all that it says, {@code home} hears where its datagrams come in. */
  ChildProcess(List<String> command, Path root, Path log, java.util.function.Consumer<String> home)
      throws IOException {
    List<String> all =
        new ArrayList<>(
            List.of(
                "sh",
                "-c",
                "\"$@\" <&- 2>&1 & echo $!; cat >/dev/null; kill -9 $! 2>/dev/null",
                "guard"));
    all.addAll(command);
    guard = new ProcessBuilder(all).directory(root.toFile()).redirectErrorStream(true).start();
    BufferedReader said =
        new BufferedReader(new InputStreamReader(guard.getInputStream(), StandardCharsets.UTF_8));
    pid = Long.parseLong(said.readLine());
    Thread reader =
        new Thread(
            () -> {
              try (var out =
                  Files.newBufferedWriter(
                      log,
                      java.nio.file.StandardOpenOption.CREATE,
                      java.nio.file.StandardOpenOption.APPEND)) {
                for (String line; (line = said.readLine()) != null; ) {
                  out.write(line + "\n");
                  out.flush();
                  Matcher m = MEMBERSHIP.matcher(line);
                  if (m.matches()) {
                    home.accept(m.group(1));
                  }
                  found(ADMIN, line, admin);
                  found(READY, line, ready);
                }
              } catch (IOException | UncheckedIOException closed) {
                admin.completeExceptionally(closed);
              }
              IOException ended = new IOException("the process has ended; see " + log);
              admin.completeExceptionally(ended);
              ready.completeExceptionally(ended);
            },
            "log " + pid);
    reader.setDaemon(true);
    reader.start();
  }

  private static void found(Pattern pattern, String line, CompletableFuture<String> announced) {
    Matcher m = pattern.matcher(line);
    if (m.matches()) {
      announced.complete(m.group(1));
    }
  }

  private static String wait(CompletableFuture<String> announced)
      throws IOException, InterruptedException {
    try {
      return announced.get(30, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("no word from the process: " + e.getMessage(), e);
    }
  }

  String admin() throws IOException, InterruptedException {
    return wait(admin);
  }

  String address() throws IOException, InterruptedException {
    return wait(ready);
  }

  /** Null until it has said so. */
  String adminNow() {
    return admin.isDone() && !admin.isCompletedExceptionally() ? admin.join() : null;
  }

  /** Null until it is ready. */
  String addressNow() {
    return ready.isDone() && !ready.isCompletedExceptionally() ? ready.join() : null;
  }

  long pid() {
    return pid;
  }

  boolean alive() {
    return ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false);
  }

  /** STOP, CONT, TERM or KILL. */
  void signal(String name) throws IOException, InterruptedException {
    if (alive()) {
      new ProcessBuilder("kill", "-" + name, Long.toString(pid))
          .redirectErrorStream(true)
          .start()
          .waitFor();
    }
  }

  /** CPU that it used so far, in milliseconds. */
  long cpuMs() {
    return ProcessHandle.of(pid)
        .flatMap(p -> p.info().totalCpuDuration())
        .map(java.time.Duration::toMillis)
        .orElse(0L);
  }

  @Override
  public void close() throws IOException {
    guard.getOutputStream().close(); // the guard kills it, stopped or not
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
