package dillcross.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * Starts the built program, with small stand-ins for endpoints and discovery, and speaks to it over
 * loopback.
 */
abstract class SidecarFixture {
  static final String BODY = "caf\u00e9 \u0001 body";
  static final String HEALTH = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";
  final List<AutoCloseable> toClose = new java.util.concurrent.CopyOnWriteArrayList<>();
  @TempDir Path folder;
  final StandIn a = standIn();
  final StandIn b = standIn();
  final StandIn discovery = standIn();
  Process process;
  BufferedReader log;
  int port;
  int admin;
  List<String> launcher = List.of(); // what starts the program
  boolean inherits; // ... with a listening socket of its own
  final AtomicInteger ids = new AtomicInteger();
  int sockets = 256; // the limit that it is told

  static String read(InputStream in, int count) throws IOException {
    return new String(in.readNBytes(count), StandardCharsets.ISO_8859_1);
  }

  /** Reads one message: its head and its body; "" where the other side closed first. */
  static String message(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int c = in.read();
      if (c < 0) {
        return head.toString();
      }
      head.append((char) c);
    }
    Matcher length = Pattern.compile("(?i)content-length: *([0-9]+)").matcher(head);
    return head + (length.find() ? read(in, Integer.parseInt(length.group(1))) : "");
  }

  static String answer(int status, String fields, String body) {
    return "HTTP/1.1 "
        + status
        + " x\r\n"
        + fields
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /** An endpoint that does what the path asks for, and discovery, whose list a test sets. */
  static final class StandIn implements AutoCloseable {
    final ServerSocket server;
    final Map<String, Integer> got = new ConcurrentHashMap<>(); // requests by path
    final List<String> requests = java.util.Collections.synchronizedList(new ArrayList<>());
    final AtomicInteger accepted = new AtomicInteger();
    final CountDownLatch go = new CountDownLatch(1); // what is asked to wait for it does
    final List<String> broken =
        java.util.Collections.synchronizedList(new ArrayList<>()); // answers to the next watches
    String list = ""; // what changed in the version below
    int version = 1;
    int requested; // the version that the last watch had

    final boolean echoes; // large bodies, as they came

    StandIn() throws IOException {
      this(false);
    }

    StandIn(boolean echoes) throws IOException {
      this.echoes = echoes;
      server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
      start(
          () -> {
            while (true) {
              Socket socket = server.accept();
              accepted.incrementAndGet();
              start(() -> serve(socket));
            }
          });
    }

    interface Task {
      void run() throws Exception;
    }

    static void start(Task task) {
      Thread thread =
          new Thread(
              () -> {
                try {
                  task.run();
                } catch (Exception closed) {
                  Thread.currentThread().interrupt(); // the other side or the test has gone
                }
              });
      thread.setDaemon(true);
      thread.start();
    }

    void serve(Socket socket) throws Exception {
      try (socket) {
        while (echoes) {
          InputStream in = socket.getInputStream();
          String head = head(in);
          if (head.isEmpty()) {
            return;
          }
          requests.add(head);
          byte[] got =
              head.startsWith("GET") ? BODY.getBytes(StandardCharsets.ISO_8859_1) : body(in, head);
          boolean chunks = head.contains("/echo1");
          OutputStream out = socket.getOutputStream();
          out.write(
              ("HTTP/1.1 200 x\r\n"
                      + (chunks ? "Transfer-Encoding: chunked" : "Content-Length: " + got.length)
                      + "\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
          out.write(
              chunks
                  ? (Integer.toHexString(got.length) + "\r\n").getBytes(StandardCharsets.US_ASCII)
                  : new byte[0]);
          out.write(got);
          out.write(chunks ? "\r\n0\r\n\r\n".getBytes(StandardCharsets.US_ASCII) : new byte[0]);
        }
        for (String m = message(socket.getInputStream());
            !m.isEmpty();
            m = message(socket.getInputStream())) {
          requests.add(m);
          String path = m.split(" ")[1];
          got.merge(path, 1, Integer::sum);
          String what = path.substring(path.lastIndexOf('/') + 1);
          String reply =
              path.startsWith("/v1/")
                  ? watch(path)
                  : switch (what) {
                    case "500", "400" -> answer(Integer.parseInt(what), "", "");
                    case "full", "fullthen" -> answer(503, "Not-Started: 1\r\n", "");
                    case "plain503" -> answer(503, "", "");
                    case "cut" -> answer(200, "", BODY).substring(0, 50);
                    case "garbled" -> "hello\r\n\r\n";
                    case "reset" -> "";
                    case "large" -> answer(200, "", "x".repeat(400_000));
                    case "brokenlength" ->
                        "HTTP/1.1 200 x\r\nContent-Length: 900000\r\n\r\n" + "x".repeat(80_000);
                    case "brokenchunks" ->
                        "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n30000\r\n"
                            + "x".repeat(80_000);
                    case "noise" -> "\u0001\u0002 no answer";
                    case "endless" -> "HTTP/1.1 200 x\r\n\r\nand more";
                    case "huge" ->
                        "HTTP/1.1 200 x\r\nContent-Length: 3000000000\r\n\r\n"
                            + "x".repeat(100_000);
                    case "twice" ->
                        "HTTP/1.1 100 x\r\n\r\n"
                            + answer(200, "Server-Load: \u0001\r\n", BODY)
                            + answer(200, "", "stale");
                    case "chunked" ->
                        "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + Integer.toHexString(BODY.length())
                            + "\r\n"
                            + BODY
                            + "\r\n0\r\n\r\n";
                    default ->
                        answer(
                            200, "Content-Type: text/odd\r\nServer-Load: TEXT queue=1\r\n", BODY);
                  };
          if (what.endsWith("then")) {
            go.await();
          }
          if (reply.startsWith("later")) {
            Thread.sleep(400);
            reply = reply.substring(5);
          }
          if (what.equals("hang") || reply.equals("silent")) {
            new CountDownLatch(1).await();
          } else if (what.equals("slow")) {
            Thread.sleep(700);
          }
          socket.getOutputStream().write(reply.getBytes(StandardCharsets.ISO_8859_1));
          if (what.equals("late")) {
            Thread.sleep(300);
            socket
                .getOutputStream()
                .write(answer(200, "", "stale").getBytes(StandardCharsets.ISO_8859_1));
            got.put("written", 1);
          }
          if (List.of("cut", "reset", "garbled", "brokenlength", "brokenchunks").contains(what)) {
            return;
          }
        }
      }
    }

    synchronized String watch(String path) throws InterruptedException {
      if (!broken.isEmpty()) {
        return broken.remove(0);
      }
      int since = Integer.parseInt(path.replaceAll(".*since=([0-9]+).*", "$1"));
      requested = since;
      notifyAll();
      while (since >= version) {
        wait();
      }
      return answer(
          200, "", "{\"version\":" + version + ",\"full\":false,\"servers\":[" + list + "]}");
    }

    synchronized void news(String entries) {
      list = entries;
      version++;
      notifyAll();
    }

    /** Tells it, and waits until the sidecar has asked for what comes after. */
    synchronized void tell(String entries) throws InterruptedException {
      news(entries);
      while (requested < version) {
        wait();
      }
    }

    String address() {
      return "127.0.0.1:" + server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
      server.close();
    }
  }

  StandIn standIn() {
    try {
      StandIn made = new StandIn();
      toClose.add(made);
      return made;
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  static String entry(String id, String state, String address) {
    return "{\"id\":\""
        + id
        + "\",\"addr\":\""
        + address
        + "\",\"zone\":\"east\",\"kind\":\"k\",\"cell\":1,\"state\":\""
        + state
        + "\",\"weight\":1.0,\"started_ms\":0}";
  }

  /** Starts it; with a list of endpoints. */
  void start(String servers, String... changes) throws IOException {
    String config =
        "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
            + discovery.address()
            + "\",\"seed\":\"1f\","
            + "\"limits\":{\"sockets\":"
            + sockets
            + "},\"known\":{\"version\":1,\"full\":true,\"servers\":["
            + servers
            + "]},"
            + "\"settings\":{\"locality\":\"east\",\"balancers\":1,\"categories\":["
            + "{\"name\":\"read\",\"effect\":\"idempotent\",\"target_latency_ms\":400,\"ttl_ms\":2000,\"benefit\":1},"
            + "{\"name\":\"buy\",\"effect\":\"deduplicated\",\"key_scope\":\"cell\",\"window_ms\":2000,\"target_latency_ms\":400,\"ttl_ms\":2000,\"benefit\":1}],"
            + "\"limits\":{\"max_pushes\":3,\"may_duplicate\":true,\"cancel\":true,\"connect_timeout_ms\":250,\"keepalive_ms\":9000},"
            + "\"rules\":{\"ask_within_ms\":600}}}";
    for (int i = 0; i < changes.length; i += 2) {
      config = config.replace(changes[i], changes[i + 1]);
    }
    Path file = Files.writeString(folder.resolve("config.json"), config);
    Matcher run =
        Pattern.compile("run = \"exec java (.*) serve\"")
            .matcher(Files.readString(Path.of("../deploy/balancer.toml")));
    assertTrue(run.find());
    List<String> command = new ArrayList<>(launcher);
    command.add("" + Path.of(System.getProperty("java.home"), "bin", "java"));
    command.addAll(List.of(run.group(1).split(" ")));
    command.add("serve");
    ProcessBuilder builder =
        new ProcessBuilder(command).directory(new java.io.File("..")); // as the platform does
    builder.environment().put("NODE_CONFIG", file.toString());
    if (inherits) {
      builder.environment().put("NODE_FD", "0");
    }
    process = builder.start();
    log =
        new BufferedReader(new InputStreamReader(process.getErrorStream(), StandardCharsets.UTF_8));
  }

  void serving(String servers) throws IOException {
    start(servers);
    awaitReady();
  }

  void awaitReady() throws IOException {
    for (String line; (line = log.readLine()) != null; ) {
      Matcher opened = Pattern.compile("endpoint on 127.0.0.1:([0-9]+)").matcher(line);
      admin = opened.find() ? Integer.parseInt(opened.group(1)) : admin;
      Matcher ready = Pattern.compile("ready on 127.0.0.1:([0-9]+)").matcher(line);
      if (ready.find()) {
        port = Integer.parseInt(ready.group(1));
        return;
      }
    }
    throw new AssertionError("it did not start");
  }

  @AfterEach
  void end() throws Exception {
    if (process != null) {
      process.descendants().forEach(ProcessHandle::destroyForcibly);
      process.destroyForcibly().waitFor();
    }
    for (AutoCloseable open : toClose) {
      open.close();
    }
  }

  Socket connect() throws IOException {
    return connect(port);
  }

  Socket connect(int port) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(20_000);
    toClose.add(socket);
    return socket;
  }

  /** A request as its request class wants it, with an id of its own. */
  String request(String path, int timeoutMs) {
    String head =
        " HTTP/1.1\r\nHost: app\r\nRequest-Id: r"
            + ids.incrementAndGet()
            + "\r\nRequest-Timeout-Ms: "
            + timeoutMs
            + "\r\nX-Trace: t\r\n";
    return path.matches("/(read|view).*")
        ? "GET " + path + head + "\r\n"
        : "POST " + path + head + "Idempotency-Key: k9\r\nContent-Length: 3\r\n\r\nabc";
  }

  static String exchange(Socket socket, String request) throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(request.getBytes(StandardCharsets.ISO_8859_1));
    return message(socket.getInputStream());
  }

  /** Sends a request and goes on once endpoint a has got it. */
  void begin(Socket socket, String request, String path) throws Exception {
    socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    while (!a.got.containsKey(path)) {
      Thread.sleep(5);
    }
  }

  /**
   * So long that a connection to an endpoint is used again; one that has just brought an answer may
   * bring a second.
   */
  static void rested() throws InterruptedException {
    Thread.sleep(20);
  }

  static String status(String answer) {
    return answer.isEmpty() ? "closed" : answer.split(" ")[1];
  }

  void signal(String name) throws Exception {
    assertEquals(
        0, new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor());
  }

  void awaitLine(String part) throws IOException {
    String line;
    do {
      line = log.readLine();
      assertTrue(line != null, "no line with " + part);
    } while (!line.contains(part));
  }

  void hangUp(String was, String is) throws Exception {
    Path file = folder.resolve("config.json");
    Files.writeString(file, Files.readString(file).replace(was, is));
    signal("HUP");
  }

  /** Reads what follows the head: by its length, or in chunks. */
  static byte[] body(InputStream in, String head) throws IOException {
    Matcher length = Pattern.compile("(?i)content-length: *([0-9]+)").matcher(head);
    if (length.find()) {
      return in.readNBytes(Integer.parseInt(length.group(1)));
    }
    var all = new java.io.ByteArrayOutputStream();
    for (int size = 1; size > 0; ) {
      StringBuilder line = new StringBuilder();
      for (int c; (c = in.read()) != '\n' && c >= 0; ) {
        line.append((char) c);
      }
      size = Integer.parseInt(line.toString().trim(), 16);
      all.writeBytes(in.readNBytes(size));
      in.readNBytes(2);
    }
    return all.toByteArray();
  }

  static String head(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    for (int c; head.indexOf("\r\n\r\n") < 0 && (c = in.read()) >= 0; ) {
      head.append((char) c);
    }
    return head.toString();
  }
}
