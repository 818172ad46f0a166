import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One real sidecar: a process of its own, started with the command {@code run} of the deploy file. */
final class Sidecar {
  private static final long READY_MS = 30_000; // the platform's limit

  private final Path root;
  private final Path folder;
  private final String name;
  private final int port;
  private final String discovery;
  private Process process;

  /** {@code root} is the repository's root. */
  Sidecar(Path root, Path folder, String name, String discovery) throws IOException {
    this.root = root;
    this.folder = folder;
    this.name = name;
    this.discovery = discovery;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      port = free.getLocalPort();
    }
  }

  int port() {
    return port;
  }

  /** The command that ends the deploy file's line {@code run = "..."}. */
  private String command() throws IOException {
    Matcher line =
        Pattern.compile("(?m)^run = \"(.*?)\"").matcher(Files.readString(root.resolve("deploy/balancer.toml")));
    if (!line.find()) {
      throw new IOException("the deploy file has no run");
    }
    return line.group(1);
  }

  /** Writes the configuration file, in one step. */
  void configure(String known, String settings) throws IOException {
    String json =
        String.format(
            "{\"name\":\"%s\",\"listen\":\"127.0.0.1:%d\",\"discovery\":\"%s\",\"seed\":\"%016x\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"known\":%s,\"settings\":%s}",
            name, port, discovery, System.nanoTime(), known, settings);
    Path file = folder.resolve(name + ".json");
    Path next = folder.resolve(name + ".next");
    Files.writeString(next, json);
    Files.move(next, file, java.nio.file.StandardCopyOption.ATOMIC_MOVE,
        java.nio.file.StandardCopyOption.REPLACE_EXISTING);
  }

  /** Starts it, and waits until it is ready. */
  void start() throws Exception {
    Path temporary = Files.createDirectories(folder.resolve(name + ".tmp"));
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command());
    builder.directory(root.toFile());
    builder.environment().put("NODE_NAME", name);
    builder.environment().put("NODE_LISTEN", "127.0.0.1:" + port);
    builder.environment().put("NODE_DISCOVERY", discovery);
    builder.environment().put("NODE_CONFIG", folder.resolve(name + ".json").toString());
    builder.environment().put("TMPDIR", temporary.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    long untilMs = System.currentTimeMillis() + READY_MS;
    while (!isReady()) {
      if (System.currentTimeMillis() > untilMs || !process.isAlive()) {
        throw new IOException("the sidecar is not ready:\n" + log());
      }
      Tasks.sleep(50);
    }
  }

  private boolean isReady() {
    try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
      socket.setSoTimeout(2000);
      socket.getOutputStream().write(Http.bytes("GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"));
      Http.Message answer = Http.read(socket.getInputStream());
      return answer != null && answer.status() == 200;
    } catch (IOException notYet) {
      return false;
    }
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** SIGTERM. */
  void terminate() {
    process.destroy();
  }

  /** SIGKILL. */
  void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor(5, TimeUnit.SECONDS);
  }

  boolean awaitExit(long ms) throws InterruptedException {
    return process.waitFor(ms, TimeUnit.MILLISECONDS);
  }

  int exitValue() {
    return process.exitValue();
  }

  String log() throws IOException {
    return Files.readString(folder.resolve(name + ".log"));
  }
}
