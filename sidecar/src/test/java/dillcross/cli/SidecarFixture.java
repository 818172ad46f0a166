package dillcross.cli;

import static dillcross.cli.HttpMessages.exchange;
import static dillcross.cli.HttpMessages.send;
import static dillcross.cli.HttpMessages.statusOf;
import static dillcross.cli.TestDiscovery.inService;
import static dillcross.cli.TestDiscovery.terminating;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Starts the built program with two test endpoints and a discovery service, and connects to it over
 * loopback. Each test runs on a thread of its own, so that its timeout takes effect: an interrupt
 * would not end a read of the log.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
abstract class SidecarFixture {
  static final int DEFAULT_TIMEOUT_MS = 2000;

  /** A request class "once", whose requests may not run twice and have no idempotency key. */
  static final String NON_IDEMPOTENT_CLASS =
      "{\"name\":\"once\",\"effect\":\"at_most_once\",\"target_latency_ms\":400,"
          + "\"ttl_ms\":2000,\"benefit\":1}";

  /** The body of a request, with the end of its head. */
  private static final String BODY = "Content-Length: 3\r\n\r\nabc";

  private static final int READ_TIMEOUT_MS = 20_000;
  private static final int POLL_INTERVAL_MS = 2;

  // Fields of a line of /proc/net/tcp, counted from 0; the queues are SEND:RECEIVE, in bytes.
  private static final int LOCAL_ADDRESS_FIELD = 1;
  private static final int REMOTE_ADDRESS_FIELD = 2;
  private static final int STATE_FIELD = 3;
  private static final int QUEUES_FIELD = 4;
  private static final int SEND_QUEUE_INDEX = 0;
  private static final int RECEIVE_QUEUE_INDEX = 1;
  private static final String LISTEN_STATE = "0A";
  private static final int HEXADECIMAL = 16;

  /** The time after a response until its connection to the endpoint may be reused. */
  private static final int REUSE_DELAY_MS = 20;

  @TempDir Path folder;

  final List<AutoCloseable> toClose = new CopyOnWriteArrayList<>();
  final TestEndpoint endpointA = open(new TestEndpoint());
  final TestEndpoint endpointB = open(new TestEndpoint());
  final TestDiscovery discovery = open(new TestDiscovery());
  final AtomicInteger requestCount =
      new AtomicInteger(); // requests built so far; numbers their ids
  SidecarProcess sidecar;

  /** Starts a server, which is closed after the test. */
  final <T extends LoopbackServer> T open(T server) {
    server.start();
    toClose.add(server);
    return server;
  }

  /** The list entry of endpoint A, in service. */
  String entryOfA() {
    return inService("a", endpointA.address());
  }

  /** The list entry of endpoint B, in service. */
  String entryOfB() {
    return inService("b", endpointB.address());
  }

  /** Publishes that A drains and B is in service, and waits until the sidecar has read this. */
  void replaceAByB(TestDiscovery from) throws InterruptedException {
    from.publishAndAwait(entryOfB(), terminating("a", endpointA.address()));
  }

  /** The configuration file of the sidecar. */
  Path configFile() {
    return folder.resolve("config.json");
  }

  /** Starts the sidecar without waiting until it is ready. */
  void start(TestConfig config) throws IOException {
    start(config, List.of(), Map.of());
  }

  /** Starts the sidecar by a launcher; see {@link SidecarProcess#start}. */
  void start(TestConfig config, List<String> launcher, Map<String, String> environment)
      throws IOException {
    Files.writeString(configFile(), config.toJson(discovery.address()));
    sidecar = SidecarProcess.start(configFile(), launcher, environment);
  }

  /** Starts the sidecar and waits until it is ready. */
  void startAndAwaitReady(TestConfig config) throws IOException {
    start(config);
    sidecar.awaitReady();
  }

  /** Starts the sidecar with endpoint A and waits until it is ready. */
  void startWithEndpointA() throws IOException {
    startAndAwaitReady(new TestConfig(entryOfA()));
  }

  /** Ends the program and closes all sockets of the test. */
  @AfterEach
  void closeAll() throws Exception {
    if (sidecar != null) {
      sidecar.kill();
    }
    for (AutoCloseable closeable : toClose) {
      closeable.close();
    }
  }

  /** Opens a connection to the sidecar's port for clients, which is closed after the test. */
  Socket connect() throws IOException {
    return connect(sidecar.port);
  }

  /** Opens a connection to a port on loopback, which is closed after the test. */
  Socket connect(int port) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(READ_TIMEOUT_MS);
    toClose.add(socket);
    return socket;
  }

  /** A request of the class that the path names, with a new id and a timeout of 2 s. */
  String request(String path) {
    return request(path, DEFAULT_TIMEOUT_MS);
  }

  /** A request of the class that the path names, with a new id. */
  String request(String path, int timeoutMs) {
    String head =
        " HTTP/1.1\r\nHost: app\r\nRequest-Id: r"
            + requestCount.incrementAndGet()
            + "\r\nRequest-Timeout-Ms: "
            + timeoutMs
            + "\r\nX-Trace: t\r\n";
    return path.matches("/(read|view).*")
        ? "GET " + path + head + "\r\n"
        : "POST " + path + head + "Idempotency-Key: k9\r\n" + BODY;
  }

  /** Replaces the body of a request; {@code length} is the Content-Length that it states. */
  static String withBody(String request, int length, String body) {
    return request.replace(BODY, "Content-Length: " + length + "\r\n\r\n" + body);
  }

  /** Replaces the body of a request by a chunked one. */
  static String withChunks(String request, String chunks) {
    return request.replace(BODY, "Transfer-Encoding: chunked\r\n\r\n" + chunks);
  }

  /** Sends a request on a new connection; returns the status of the response. */
  String statusOfNewClient(String request) throws IOException {
    return statusOf(exchange(connect(), request));
  }

  /** Sends a request and waits until endpoint A has received it. */
  void sendAndAwaitArrival(Socket socket, String path) throws Exception {
    sendAndAwaitArrival(socket, path, DEFAULT_TIMEOUT_MS);
  }

  /** Sends a request with that timeout and waits until endpoint A has received it. */
  void sendAndAwaitArrival(Socket socket, String path, int timeoutMs) throws Exception {
    send(socket, request(path, timeoutMs));
    await(() -> endpointA.requestCounts.containsKey(path));
  }

  /** Waits for a condition; only the timeout of the test limits the time. */
  static void await(Callable<Boolean> condition) throws Exception {
    while (!condition.call()) {
      Thread.sleep(POLL_INTERVAL_MS);
    }
  }

  /** Waits until the sidecar has read all bytes that clients have sent to it. */
  void awaitClientInputRead() throws Exception {
    // The sockets of the tests are IPv6 sockets, those of the sidecar IPv4 sockets.
    await(() -> areQueuesEmpty("/proc/net/tcp6", REMOTE_ADDRESS_FIELD, SEND_QUEUE_INDEX));
    await(() -> areQueuesEmpty("/proc/net/tcp", LOCAL_ADDRESS_FIELD, RECEIVE_QUEUE_INDEX));
  }

  /**
   * Whether the table lists connections with the sidecar's port in {@code addressField}, and the
   * queue at {@code queueIndex} of each of them is empty.
   */
  private boolean areQueuesEmpty(String socketTable, int addressField, int queueIndex)
      throws IOException {
    String portSuffix = String.format(":%04X", sidecar.port);
    try (var lines = Files.lines(Path.of(socketTable))) {
      List<Long> queues =
          lines
              .map(line -> line.trim().split(" +"))
              .filter(fields -> fields[addressField].endsWith(portSuffix))
              .filter(fields -> !fields[STATE_FIELD].equals(LISTEN_STATE)) // it queues connections
              .map(fields -> fields[QUEUES_FIELD].split(":")[queueIndex])
              .map(queue -> Long.parseLong(queue, HEXADECIMAL))
              .toList();
      return !queues.isEmpty() && queues.stream().allMatch(queue -> queue == 0);
    }
  }

  /** Waits until the sidecar may reuse the connections on which it got responses. */
  static void awaitConnectionReuse() throws InterruptedException {
    Thread.sleep(REUSE_DELAY_MS);
  }

  /** Replaces {@code target} in the configuration file, and has the sidecar reload the file. */
  void reload(String target, String replacement) throws Exception {
    String config = Files.readString(configFile());
    Files.writeString(configFile(), config.replace(target, replacement));
    sidecar.signal("HUP");
  }

  /** The number of requests with that path that the endpoints got; fails if an id came twice. */
  static long countReceivedOnce(String path, LoopbackServer... endpoints) {
    List<String> ids = new ArrayList<>();
    for (LoopbackServer endpoint : endpoints) {
      synchronized (endpoint.requests) {
        endpoint.requests.stream()
            .filter(request -> request.contains(" " + path + " "))
            .map(request -> request.replaceAll("(?si).*request-id: *(\\S+).*", "$1"))
            .forEach(ids::add);
      }
    }
    assertEquals(ids.size(), ids.stream().distinct().count(), "received twice: " + ids);
    return ids.size();
  }
}
