package dillcross.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.balancer.LoadBalancer;
import dillcross.common.NumericAddress;
import dillcross.model.DeduplicationScope;
import dillcross.model.DiscoveryPolicy;
import dillcross.model.Endpoint;
import dillcross.model.Idempotency;
import dillcross.model.RequestClass;
import dillcross.model.TestSettings;
import dillcross.sidecar.EndpointEntry;
import dillcross.sidecar.RequestCoordinator;
import dillcross.sidecar.SidecarLimits;
import dillcross.sidecar.SidecarSettings;
import java.io.IOException;
import java.util.List;

/**
 * A running sidecar with one endpoint on a {@link FakeNetwork}, in virtual time. The test plays its
 * clients and the endpoint.
 */
final class VirtualSidecar {
  /** An endpoint's answer. */
  static final String OK = "HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nok";

  static final String ENDPOINT_ADDRESS = "127.0.0.1:1";
  private static final String DISCOVERY_ADDRESS = "127.0.0.1:2";
  static final int MAX_TIMEOUT_MS = 3000;
  static final int KEEP_ALIVE_MS = 4000;

  private static final String CLIENT_ADDRESS = "127.0.0.1:3";
  private static final String ADMIN_ADDRESS = "127.0.0.1:4";
  private static final int FIRST_WATCH_MS = 600;
  private static final int STEP_MS = 50;
  private static final int MICROS_PER_MILLI = 1000;

  final FakeNetwork network = new FakeNetwork();
  private final SidecarServer server;
  private long nowUs = 1_000_000_000;
  private int requestCount;

  /** Starts the sidecar; it is ready at once. */
  VirtualSidecar() throws IOException {
    RequestClass read = requestClass("read", Idempotency.IDEMPOTENT);
    RequestClass once = requestClass("once", Idempotency.NON_IDEMPOTENT);
    SidecarSettings settings =
        new SidecarSettings(
            TestSettings.of(
                "east",
                0,
                1,
                List.of(read, once),
                new DiscoveryPolicy(true, 600_000, false, false),
                0),
            MAX_TIMEOUT_MS * MICROS_PER_MILLI,
            1_000_000,
            KEEP_ALIVE_MS * MICROS_PER_MILLI);
    RequestCoordinator coordinator =
        new RequestCoordinator(new LoadBalancer(1, settings.balancer()));
    EndpointEntry entry =
        new EndpointEntry(new Endpoint("a", Endpoint.Health.UP, 0, 1, "east", 1), ENDPOINT_ADDRESS);
    coordinator.onEndpointList(nowUs, 1, true, List.of(entry), false);
    server =
        new SidecarServer(
            network,
            0,
            coordinator,
            () -> nowUs,
            settings,
            DISCOVERY_ADDRESS,
            new SidecarLimits(1024, 32 << 20, 16 << 20));
    server.open(NumericAddress.parse(ADMIN_ADDRESS));
    server.listen(NumericAddress.parse(CLIENT_ADDRESS).orElseThrow());
    network.iterate();
    server.markReady();
  }

  private static RequestClass requestClass(String name, Idempotency idempotency) {
    return new RequestClass(
        name,
        idempotency,
        DeduplicationScope.ALL,
        0,
        (long) MAX_TIMEOUT_MS * MICROS_PER_MILLI,
        1,
        1);
  }

  /** Lets {@code milliseconds} pass, and runs the event loop throughout. */
  void advance(int milliseconds) {
    for (int elapsedMs = 0; elapsedMs < milliseconds; elapsedMs += STEP_MS) {
      nowUs += STEP_MS * MICROS_PER_MILLI;
      network.iterate();
    }
  }

  /** The number of iterations of the event loop that have failed. */
  int failedIterations() {
    return server.usage().failedIterations();
  }

  /** Begins the shutdown, as SIGTERM does. */
  void requestStop() {
    server.requestStop();
    network.iterate();
  }

  /** Whether the shutdown is done, so that the process ends. */
  boolean isStopped() {
    return server.isDone();
  }

  /** Opens a client's connection. */
  FakeNetwork.FakeChannel connect() {
    return network.accept(CLIENT_ADDRESS);
  }

  /** Opens a connection to the admin endpoint. */
  FakeNetwork.FakeChannel connectToAdmin() {
    return network.accept(ADMIN_ADDRESS);
  }

  /** A request without a body. */
  String get() {
    return head("GET /read/x");
  }

  /** A request without a body that may not run twice. */
  String getOnce() {
    return post(0);
  }

  /** The head of a request whose body has this length. */
  String post(int bodyBytes) {
    return head("POST /once/x")
        .replace("\r\n\r\n", "\r\nContent-Length: " + bodyBytes + "\r\n\r\n");
  }

  /** The head of a request whose body is chunked. */
  String postChunked() {
    return head("POST /once/x").replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n");
  }

  private String head(String methodAndPath) {
    requestCount++;
    return methodAndPath
        + " HTTP/1.1\r\nHost: a\r\nRequest-Id: r"
        + requestCount
        + "\r\nRequest-Timeout-Ms: "
        + MAX_TIMEOUT_MS
        + "\r\n\r\n";
  }

  /** Runs the event loop until the pending attempt is sent; returns the connection that it uses. */
  FakeNetwork.FakeChannel connectToEndpoint() {
    return connectTo(ENDPOINT_ADDRESS);
  }

  /** Lets the sidecar ask for the endpoint list; returns the connection that it uses. */
  FakeNetwork.FakeChannel connectToDiscovery() {
    advance(FIRST_WATCH_MS);
    return connectTo(DISCOVERY_ADDRESS);
  }

  /** Runs the event loop until the sidecar connects to an address; returns the connection. */
  FakeNetwork.FakeChannel connectTo(String address) {
    network.iterate();
    FakeNetwork.FakeChannel endpoint = network.newest(address);
    endpoint.connect();
    network.iterate();
    return endpoint;
  }

  /** A chunk of a body. */
  static String chunk(int bytes) {
    return Integer.toHexString(bytes) + "\r\n" + "x".repeat(bytes) + "\r\n";
  }

  /** Checks that the peer of a channel got an answer with this status, and takes the answer. */
  static void assertAnswered(String status, FakeNetwork.FakeChannel client) {
    String answer = client.takeWritten();
    assertTrue(answer.startsWith("HTTP/1.1 " + status), answer);
  }
}
