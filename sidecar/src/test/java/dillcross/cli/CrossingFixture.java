package dillcross.cli;

import static dillcross.cli.HttpMessages.HEALTH_CHECK;
import static dillcross.cli.HttpMessages.send;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Forces two events to cross on real sockets: the sidecar is suspended while both occur, or a
 * {@link LateEndpoint} keeps an attempt waiting for its connection. The pairs of events are listed
 * in {@code docs/crossings.md}.
 */
abstract class CrossingFixture extends SidecarFixture {
  /** A timeout longer than any test, so that an attempt waits for its connection. */
  static final int LONG_TIMEOUT_MS = 100_000;

  /** The timeout of requests that wait for most of a test. */
  static final int REQUEST_TIMEOUT_MS = 90_000;

  private static final int LONG_OBJECTIVE_MS = 20_000;

  /** A state of a TCP connection, with its code in {@code /proc/net/tcp}. */
  enum TcpState {
    ESTABLISHED("01"),
    SYN_SENT("02"),
    CLOSE_WAIT("08");

    private final String code;

    TcpState(String code) {
      this.code = code;
    }
  }

  /** Runs {@code task} while the sidecar is suspended, so that it finds all events at once. */
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

  /** Waits until the sidecar has begun to shut down, which fails its health checks. */
  void awaitShutdown() throws Exception {
    await(() -> statusOfNewClient(HEALTH_CHECK).equals("503"));
  }

  /** The number of connections in that state that the sidecar has accepted from clients. */
  long countClientConnections(TcpState state) throws IOException {
    return countConnections(1, sidecar.port, state);
  }

  /** The number of connections in that state that the sidecar has opened to that port. */
  static long countConnectionsTo(int port, TcpState state) throws IOException {
    return countConnections(2, port, state);
  }

  /** Counts IPv4 sockets only: those of the sidecar are, those of this test are not. */
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

  /** Opens a late endpoint, which is closed after the test. */
  LateEndpoint openLateEndpoint() throws IOException {
    LateEndpoint endpoint = new LateEndpoint();
    toClose.add(endpoint);
    return endpoint;
  }

  /** Waits until a connect of the sidecar to the endpoint is in progress. */
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

  /** Disconnects a client in one of three ways: "closes", "resets" or "half-closes". */
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

  /** Sends a request without its last byte; returns that byte. */
  static String sendAllButLastByte(Socket socket, String request) throws IOException {
    int last = request.length() - 1;
    send(socket, request.substring(0, last));
    return request.substring(last);
  }
}
