package dillcross.cli;

import static dillcross.cli.HttpMessages.HEALTH_CHECK;
import static dillcross.cli.HttpMessages.send;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Forces two events to cross on real sockets: by a process that is suspended while both occur, or
 * by a {@link LateEndpoint}. The pairs of events are listed in {@code docs/crossings.md}.
 */
abstract class CrossingFixture extends SidecarFixture {
  /** Longer than any test, so that an attempt waits for its connection. */
  static final int LONG_TIMEOUT_MS = 100_000;

  /** The timeout of requests that are to wait. */
  static final int REQUEST_TIMEOUT_MS = 90_000;

  private static final int LONG_OBJECTIVE_MS = 20_000;

  /** State of a TCP connection as {@code /proc/net/tcp} shows it. */
  enum TcpState {
    ESTABLISHED("01"),
    SYN_SENT("02"),
    CLOSE_WAIT("08");

    private final String code;

    TcpState(String code) {
      this.code = code;
    }
  }

  /** Suspends the program, and resumes it after {@code task}, whose events it finds all at once. */
  void whileSuspended(BackgroundTask task) throws Exception {
    sidecar.signal("STOP");
    while (!isSuspended()) {
      Thread.sleep(1);
    }
    task.run();
    sidecar.signal("CONT");
  }

  private boolean isSuspended() throws IOException {
    String status = Files.readString(sidecar.procFile("stat"));
    return status.replaceAll("(?s).*\\) ", "").startsWith("T");
  }

  /** Waits until the shutdown has begun. */
  void awaitShutdown() throws Exception {
    await(() -> statusOfNewClient(HEALTH_CHECK).equals("503"));
  }

  /** How many connections the sidecar has accepted that are in that state. */
  long countClientConnections(TcpState state) throws IOException {
    return countConnections(1, sidecar.port, state);
  }

  /** How many connections the sidecar has opened to that port that are in that state. */
  static long countConnectionsTo(int port, TcpState state) throws IOException {
    return countConnections(2, port, state);
  }

  /** Counts IPv4 sockets, as the program has them and this test does not. */
  private static long countConnections(int addressField, int port, TcpState state)
      throws IOException {
    String portSuffix = String.format(":%04X", port);
    try (var lines = Files.lines(Path.of("/proc/net/tcp"))) {
      return lines
          .map(line -> line.trim().split(" +"))
          .filter(fields -> fields[addressField].endsWith(portSuffix))
          .filter(fields -> fields[3].equals(state.code))
          .count();
    }
  }

  /** Waits until the sidecar has closed all its clients' connections. */
  void awaitNoClientConnections() throws Exception {
    await(
        () ->
            countClientConnections(TcpState.ESTABLISHED)
                    + countClientConnections(TcpState.CLOSE_WAIT)
                == 0);
  }

  /** A late endpoint, to be closed after the test. */
  LateEndpoint openLateEndpoint() throws IOException {
    LateEndpoint endpoint = new LateEndpoint();
    toClose.add(endpoint);
    return endpoint;
  }

  /** Waits until the sidecar connects to the endpoint. */
  static void awaitConnect(LateEndpoint endpoint) throws Exception {
    await(() -> countConnectionsTo(endpoint.port(), TcpState.SYN_SENT) > 0);
  }

  /** A configuration by which an attempt waits for its connection for as long as a test lasts. */
  static TestConfig withLongTimeouts(String endpoint) {
    return new TestConfig(endpoint)
        .connectTimeoutMs(LONG_TIMEOUT_MS)
        .timeoutMs(LONG_TIMEOUT_MS)
        .latencyObjectiveMs(LONG_OBJECTIVE_MS);
  }

  /** Ends a client's connection: "closes", "resets" or "half-closes". */
  static void disconnect(Socket socket, String how) throws IOException {
    switch (how) {
      case "half-closes" -> socket.shutdownOutput();
      case "resets" -> {
        socket.setSoLinger(true, 0);
        socket.close();
      }
      default -> socket.close();
    }
  }

  /** Sends all of a request but its last byte; returns that byte. */
  static String sendAllButLastByte(Socket socket, String request) throws IOException {
    int last = request.length() - 1;
    send(socket, request.substring(0, last));
    return request.substring(last);
  }
}
