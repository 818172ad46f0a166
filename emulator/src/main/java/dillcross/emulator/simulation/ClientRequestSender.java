package dillcross.emulator.simulation;

import dillcross.emulator.network.SocketEndpoint;
import dillcross.emulator.oracle.ObservedRequest;
import dillcross.emulator.random.RandomStream;
import dillcross.emulator.scenario.Scenario;
import java.util.Arrays;

/**
 * Sends one request on a client's connection, whole or in pieces. With a given probability, the
 * client disconnects before the answer. All draws come from a random stream of the request, so that
 * they do not depend on which connection was free.
 */
final class ClientRequestSender {
  /**
   * Length in bytes above which the timeout starts when the sidecar has read the last byte of the
   * body, and not when the client has sent it.
   */
  private static final int STREAMED_BODY_BYTES = 64 << 10;

  private static final int MIN_BYTES_TO_SPLIT = 8;
  private static final long MIN_PIECES = 2;
  private static final long MAX_PIECES = 5;
  private static final long MIN_PIECE_INTERVAL_US = 500;
  private static final long MAX_PIECE_INTERVAL_US = 20_000;

  private final SimulationContext context;
  private final Scenario.ClientSettings settings;
  private final ClientConnection connection;
  private final SocketEndpoint socket;
  private final ObservedRequest request;
  private final RandomStream random;
  private final byte[] bytes;

  /** Creates the sender of the request on the current socket of the connection. */
  ClientRequestSender(
      SimulationContext context,
      ClientConnection connection,
      SocketEndpoint socket,
      ObservedRequest request,
      RandomStream random) {
    this.context = context;
    this.connection = connection;
    this.socket = socket;
    this.request = request;
    this.random = random;
    settings = context.scenario().clients();
    bytes = message();
  }

  /** Length of the request in bytes, with its head. */
  int byteCount() {
    return bytes.length;
  }

  private byte[] message() {
    Scenario.RequestClass requestClass = request.requestClass();
    boolean isGet = requestClass.effect().equals("idempotent");
    byte[] body =
        isGet ? null : HttpStreamReader.body(request.id() + " ", requestClass.bodyBytes());
    boolean isLast = random.happens(settings.closeShare());
    return HttpStreamReader.message(
        (isGet ? "GET /" : "POST /") + requestClass.name() + "/of HTTP/1.1",
        body,
        false,
        "Host",
        "app",
        "Request-Id",
        request.id(),
        "Request-Timeout-Ms",
        String.valueOf((long) requestClass.timeoutMs()),
        "Idempotency-Key",
        isGet ? null : request.key(),
        "Client-Retry",
        request.retryNumber() > 0 ? "1" : null,
        "Connection",
        isLast ? "close" : null);
  }

  /**
   * Schedules the sending of all pieces and, with the probability {@code leaveShare}, the client's
   * early disconnect.
   */
  void send(double leaveShare) {
    int pieceCount = pieceCount();
    long delayUs = 0;
    for (int piece = 0; piece < pieceCount; piece++) {
      int from = (int) ((long) bytes.length * piece / pieceCount);
      int to = (int) ((long) bytes.length * (piece + 1) / pieceCount);
      context.after(delayUs, () -> sendPiece(from, to));
      delayUs += random.between(MIN_PIECE_INTERVAL_US, MAX_PIECE_INTERVAL_US);
    }
    if (random.happens(leaveShare)) {
      context.after(settings.leaveMs().drawUs(random), () -> connection.disconnect(request));
    }
  }

  private int pieceCount() {
    boolean isSplit = random.happens(settings.pieceShare()) && bytes.length > MIN_BYTES_TO_SPLIT;
    return isSplit ? (int) random.between(MIN_PIECES, MAX_PIECES) : 1;
  }

  private void sendPiece(int from, int to) {
    if (!connection.isWaitingOn(socket, request) || !socket.isOpen()) {
      return;
    }
    boolean isLast = to == bytes.length;
    boolean isStreamed = request.requestClass().bodyBytes() > STREAMED_BODY_BYTES;
    Runnable onRead = isLast && isStreamed ? () -> connection.onSent(request) : null;
    socket.send(Arrays.copyOfRange(bytes, from, to), onRead);
    if (isLast && !isStreamed) {
      connection.onSent(request);
    }
  }
}
