import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Small stand-ins for clients, endpoints and discovery, and a launcher for one real sidecar. */
final class Kit {
  static final long T0 = System.nanoTime();
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
  private static final AtomicLong IDS = new AtomicLong();
  private static PrintWriter record;

  private Kit() {}

  /** Milliseconds since the start of the test. */
  static double ms() {
    return (System.nanoTime() - T0) / 1e6;
  }

  static void openRecord(Path file) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  /** Writes one line to record.txt, with the time of the test. */
  static synchronized void log(String format, Object... args) {
    String line = String.format(Locale.ROOT, "%9.1f ms  ", ms()) + String.format(Locale.ROOT, format, args);
    if (record != null) {
      record.println(line);
    }
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static Thread start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static String newId() {
    return "r" + Long.toHexString(T0 & 0xffffff) + "-" + IDS.incrementAndGet();
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, loopback())) {
      return socket.getLocalPort();
    }
  }

  static InetAddress loopback() throws IOException {
    return InetAddress.getByName("127.0.0.1");
  }

  static void close(Closeable closeable) {
    try {
      closeable.close();
    } catch (IOException e) {
      // closed already
    }
  }

  // HTTP

  /** A message as it was read: first line, fields by lower-case name, and the body. */
  record Message(String start, Map<String, String> fields, byte[] body) {
    int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }

    String path() {
      return start.split(" ")[1];
    }
  }

  /** Reads one message; null if the stream ends before its first byte. */
  static Message read(InputStream in, boolean isResponse) throws IOException {
    String start = line(in, true);
    if (start == null) {
      return null;
    }
    Map<String, String> fields = new TreeMap<>();
    for (String line = line(in, false); !line.isEmpty(); line = line(in, false)) {
      int colon = line.indexOf(':');
      fields.put(
          line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    byte[] body;
    if ("chunked".equalsIgnoreCase(fields.get("transfer-encoding"))) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      int size = Integer.parseInt(line(in, false).trim(), 16);
      while (size > 0) {
        all.writeBytes(exactly(in, size));
        line(in, false);
        size = Integer.parseInt(line(in, false).trim(), 16);
      }
      line(in, false);
      body = all.toByteArray();
    } else if (fields.containsKey("content-length")) {
      body = exactly(in, Integer.parseInt(fields.get("content-length")));
    } else if (isResponse) {
      body = in.readAllBytes();
    } else {
      body = new byte[0];
    }
    return new Message(start, fields, body);
  }

  private static byte[] exactly(InputStream in, int count) throws IOException {
    byte[] bytes = in.readNBytes(count);
    if (bytes.length < count) {
      throw new EOFException("the message ended after " + bytes.length + " of " + count + " bytes");
    }
    return bytes;
  }

  private static String line(InputStream in, boolean mayEnd) throws IOException {
    StringBuilder text = new StringBuilder();
    int c = in.read();
    if (c < 0 && mayEnd) {
      return null;
    }
    while (c != '\n') {
      if (c < 0) {
        throw new EOFException("the head ended early");
      }
      if (c != '\r') {
        text.append((char) c);
      }
      c = in.read();
    }
    return text.toString();
  }

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  static byte[] response(int status, String fields, byte[] body) {
    byte[] head =
        ascii("HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n");
    byte[] all = new byte[head.length + body.length];
    System.arraycopy(head, 0, all, 0, head.length);
    System.arraycopy(body, 0, all, head.length, body.length);
    return all;
  }

  // Servers

  /** Handles one request on a connection; the answer is written by the handler. */
  interface Handler {
    void handle(Message request, Socket socket, OutputStream out) throws IOException;
  }

  /** A server with one thread for each connection. */
  static final class Server implements Closeable {
    final ServerSocket listener;
    final List<Socket> open = new ArrayList<>();
    private final Handler handler;

    Server(Handler handler) throws IOException {
      this.handler = handler;
      listener = new ServerSocket(0, 1024, loopback());
      Kit.start(this::accept);
    }

    String address() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() {
      while (!listener.isClosed()) {
        try {
          Socket socket = listener.accept();
          socket.setTcpNoDelay(true);
          synchronized (open) {
            open.add(socket);
          }
          Kit.start(() -> serve(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        InputStream in = new java.io.BufferedInputStream(socket.getInputStream(), 1 << 16);
        OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 1 << 16);
        for (Message m = read(in, false); m != null; m = read(in, false)) {
          handler.handle(m, socket, out);
          out.flush();
        }
      } catch (IOException | RuntimeException e) {
        // the peer has gone
      } finally {
        synchronized (open) {
          open.remove(socket);
        }
      }
    }

    @Override
    public void close() throws IOException {
      listener.close();
      synchronized (open) {
        for (Socket socket : List.copyOf(open)) {
          Kit.close(socket);
        }
      }
    }
  }

  /** One entry of the endpoint list. */
  static String entry(String id, String address, String zone, int cell, String state) {
    return String.format(
        "{\"id\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\",\"kind\":\"std\",\"cell\":%d,\"state\":\"%s\","
            + "\"weight\":1.0,\"started_ms\":0}",
        id, address, zone, cell, state);
  }

  static String list(long version, boolean full, List<String> entries) {
    return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", entries) + "]}";
  }

  /** Discovery with a list that does not change: a watch waits for its time and brings nothing. */
  static Server discovery(List<String> entries) throws IOException {
    return new Server(
        (request, socket, out) -> {
          Map<String, String> query = query(request.path());
          long since = Long.parseLong(query.getOrDefault("since", "0"));
          String answer = list(1, true, entries);
          if (since == 1) {
            sleep(Long.parseLong(query.getOrDefault("timeout_ms", "0")));
            answer = list(1, false, List.of());
          }
          out.write(response(200, "Content-Type: application/json\r\n", ascii(answer)));
        });
  }

  static Map<String, String> query(String target) {
    Map<String, String> query = new ConcurrentHashMap<>();
    int start = target.indexOf('?');
    if (start >= 0) {
      for (String pair : target.substring(start + 1).split("&")) {
        int eq = pair.indexOf('=');
        query.put(pair.substring(0, eq), pair.substring(eq + 1));
      }
    }
    return query;
  }

  // The sidecar

  /** One real sidecar, started by the command `run` of the deploy file. */
  static final class Sidecar implements Closeable {
    final Process process;
    final int port;
    final Path folder;

    Sidecar(Path root, String discovery, String known, String limits, String settings)
        throws IOException {
      folder = Files.createTempDirectory("review");
      port = freePort();
      Path config = folder.resolve("config.json");
      Files.writeString(
          config,
          String.format(
              "{\"name\":\"n1\",\"listen\":\"127.0.0.1:%d\",\"discovery\":\"%s\",\"seed\":\"8c1f30d27a5be964\","
                  + "\"limits\":%s,\"known\":%s,\"settings\":%s}",
              port, discovery, limits, known, settings));
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand(root));
      builder.directory(root.toFile());
      builder.environment().put("NODE_NAME", "n1");
      builder.environment().put("NODE_LISTEN", "127.0.0.1:" + port);
      builder.environment().put("NODE_DISCOVERY", discovery);
      builder.environment().put("NODE_CONFIG", config.toString());
      builder.environment().put("TMPDIR", folder.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(folder.resolve("log").toFile());
      process = builder.start();
      Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
      log("sidecar started: port %d, config %s", port, Files.readString(config));
    }

    private static String runCommand(Path root) throws IOException {
      for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
        if (line.startsWith("run = \"")) {
          return line.substring(7, line.indexOf('"', 7));
        }
      }
      throw new IOException("no run command in the deploy file");
    }

    /** Waits until the health check says 200; false if it does not within 30 s. */
    boolean awaitReady() {
      for (int i = 0; i < 600 && process.isAlive(); i++) {
        try (Client client = new Client(port)) {
          client.socket.setSoTimeout(1000);
          client.write(ascii("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"));
          if (client.read().status() == 200) {
            log("sidecar ready");
            return true;
          }
        } catch (IOException | RuntimeException e) {
          // not yet
        }
        sleep(50);
      }
      return false;
    }

    void signal(String name) throws IOException {
      log("SIG%s to the sidecar", name);
      new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start();
    }

    /** Resident memory in MB; -1 if the process has ended. */
    double residentMb() {
      return statusMb("VmRSS:");
    }

    /** A line of the kernel's status of the process, in MB; -1 if the process has ended. */
    double statusMb(String name) {
      try {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
          if (line.startsWith(name)) {
            return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024.0;
          }
        }
      } catch (IOException e) {
        // ended
      }
      return -1;
    }

    /** Copies the sidecar's own log into the record, ends it, and removes its folder. */
    @Override
    public void close() {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
        Files.readAllLines(folder.resolve("log")).stream().limit(60).forEach(line -> log("sidecar: %s", line));
        Files.deleteIfExists(folder.resolve("log"));
        Files.deleteIfExists(folder.resolve("config.json"));
        Files.deleteIfExists(folder);
      } catch (IOException | InterruptedException e) {
        log("clearing up: %s", e);
      }
    }
  }

  // Clients

  /** A connection of a client. */
  static final class Client implements Closeable {
    final Socket socket = new Socket();
    final InputStream in;
    private final OutputStream out;

    Client(int port) throws IOException {
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(loopback(), port), 5000);
      in = new java.io.BufferedInputStream(socket.getInputStream(), 1 << 16);
      out = socket.getOutputStream();
    }

    void write(byte[] bytes) throws IOException {
      out.write(bytes);
      out.flush();
    }

    /** Reads one answer; throws if the connection ends before it is whole. */
    Message read() throws IOException {
      Message message = Kit.read(in, true);
      if (message == null) {
        throw new EOFException("closed with no answer");
      }
      return message;
    }

    @Override
    public void close() {
      Kit.close(socket);
    }
  }

  static byte[] get(String path, String id, long timeoutMs) {
    return ascii(
        "GET " + path + " HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + id
            + "\r\nRequest-Timeout-Ms: " + timeoutMs + "\r\n\r\n");
  }

  static String postHead(String path, String id, long timeoutMs, String framing) {
    return "POST " + path + " HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + id + "\r\nRequest-Timeout-Ms: "
        + timeoutMs + "\r\nIdempotency-Key: k" + id + "\r\n" + framing + "\r\n\r\n";
  }

  /** Settings in the form of deploy/example.json, with two classes of these times. */
  static String settings(long targetMs, long ttlMs) {
    return String.format(
        "{\"locality\":\"east\",\"me\":0,\"balancers\":1,\"benefit_basis\":\"request\",\"discovery\":\"subscribe\","
            + "\"weight_source\":\"rough\",\"categories\":["
            + "{\"name\":\"read\",\"effect\":\"idempotent\",\"target_latency_ms\":%1$d,\"ttl_ms\":%2$d,"
            + "\"benefit\":1,\"overdue_benefit\":1},"
            + "{\"name\":\"buy\",\"effect\":\"deduplicated\",\"key_scope\":\"zone\",\"window_ms\":2000,"
            + "\"target_latency_ms\":%1$d,\"ttl_ms\":%2$d,\"benefit\":3,\"overdue_benefit\":1}],"
            + "\"limits\":{\"max_pushes\":3,\"may_duplicate\":true,\"cancel\":true,\"retry_after\":true,"
            + "\"max_retry_after_ms\":1000,\"connect_timeout_ms\":200,\"keepalive_ms\":15000},"
            + "\"rules\":{\"ask_within_ms\":10000,\"start_capacity\":0.3,\"warm_up_ms\":8000,\"fall_multiple\":3,"
            + "\"fall_ms\":1500,\"stop_sending_within_ms\":300,\"dropped_stay_open\":false},"
            + "\"goal\":{\"punctual\":0,\"tail_slack\":0},\"prices\":{\"cross_zone\":0.03}}",
        targetMs, ttlMs);
  }

  // The run of a case

  /** A case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
  interface Case {
    int run(Path root) throws Exception;
  }

  /** Runs a case with the root of the repository and the record's file, and exits with its result. */
  static void main(String[] args, Case test) {
    int exit = 2;
    try {
      openRecord(Path.of(args[1]));
      log("TROUBLE=%s", TROUBLE ? "1" : "0");
      start(
          () -> {
            sleep(110_000);
            log("the case took too long");
            System.exit(2);
          });
      exit = test.run(Path.of(args[0]));
    } catch (Throwable failure) {
      log("the case could not run: %s", failure);
    }
    log("exit %d", exit);
    System.exit(exit);
  }

  /** Clients that send one request on each new connection, and what became of the requests. */
  static final class Load implements Closeable {
    final ConcurrentHashMap<String, Long> results = new ConcurrentHashMap<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean isOver;

    Load(int clients, int port, long timeoutMs, byte[] expected) {
      for (int i = 0; i < clients; i++) {
        threads.add(
            Kit.start(
                () -> {
                  while (!isOver) {
                    results.merge(ask(port, timeoutMs, expected), 1L, Long::sum);
                    sleep(25);
                  }
                }));
      }
    }

    private static String ask(int port, long timeoutMs, byte[] expected) {
      String id = newId();
      Client client;
      try {
        client = new Client(port);
      } catch (IOException e) {
        return "not accepted";
      }
      double sent = 0;
      try (client) {
        client.socket.setSoTimeout((int) timeoutMs + 3000);
        client.write(get("/read/thing", id, timeoutMs));
        sent = ms();
        Message answer = client.read();
        double took = ms() - sent;
        if (answer.status() == 200 && !java.util.Arrays.equals(answer.body(), expected)) {
          log("client: %s LOST, served with another body", id);
          return "LOST";
        }
        if (took > timeoutMs + 550) { // half a second, and 50 ms on sockets
          log("client: %s LOST, answer %d after %.0f ms", id, answer.status(), took);
          return "LOST";
        }
        return answer.status() == 200 ? "served" : "answered " + answer.status();
      } catch (IOException e) {
        if (sent == 0) {
          return "not sent";
        }
        log("client: %s LOST after %.0f ms: %s", id, ms() - sent, e.getMessage());
        return "LOST";
      }
    }

    long count(String result) {
      return results.getOrDefault(result, 0L);
    }

    @Override
    public void close() {
      isOver = true;
      for (Thread thread : threads) {
        try {
          thread.join(10_000);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
      log("clients: %s", new TreeMap<>(results));
    }
  }
}
