package dillcross.net.connection;

import dillcross.net.http.HttpMessage;
import dillcross.net.http.HttpMessageParser;
import dillcross.net.http.HttpStatus;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Parses the input of a connection into messages, one at a time: the next one waits in the buffer
 * until the exchange of the message before it has ended.
 */
final class HttpConnectionCodec {
  private static final byte[] CONTINUE =
      "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  // The most that a client can have sent and that was not read here: the receive buffer of an
  // accepted connection, and the client's send buffer by Linux's default limits.
  private static final int MAX_SENT_UNREAD_BYTES = 5 << 20;

  private HttpConnectionCodec() {}

  /**
   * Handles the input of the connection: continues a streamed body, or passes the next message to
   * the handler if enough of it has arrived.
   */
  static void read(Connection connection) {
    if (connection.parser().isStreaming() && !connection.isClosing()) {
      continueBody(connection);
      return;
    }
    // Input that follows an open request, or a response that is not read, waits in the buffer.
    boolean isBusy =
        connection.isServerSide() && (connection.exchange() != null || connection.isOutputBehind());
    if (!connection.isClosing() && !isBusy && readMessage(connection)) {
      return;
    }
    if (connection.input().hasEnded() || (connection.input().isFull() && !isBusy)) {
      connection.close();
    } else if (isBusy) {
      connection.input().pauseIfFull();
      if (connection.input().isFull() && connection.exchange() != null) {
        connection.handler().onInputFull(connection);
      }
    }
  }

  private static void continueBody(Connection connection) {
    if (connection.isServerSide() && connection.input().hasEnded()) {
      connection.close(); // the client has disconnected; the rest of its request is not forwarded
      return;
    }
    connection.relays().transferInbound();
    reportBodyProgress(connection);
    connection.input().pauseIfFull();
    connection.input().resume();
  }

  /**
   * Parses the next message; returns false if more input is needed before it, or a fault in it, can
   * be passed to the handler.
   */
  private static boolean readMessage(Connection connection) {
    HttpMessageParser parser = connection.parser();
    Optional<HttpMessage> message =
        parser.parse(connection.in(), connection.input().hasEndedCleanly());
    if (connection.isServerSide() && parser.takeExpectsContinue()) {
      connection.out().add(CONTINUE);
      connection.flush();
    }
    int fault = fault(connection);
    if (message.isPresent()) {
      connection.handler().onMessage(connection, message.get());
    } else if (fault != 0) {
      connection.handler().onMalformedMessage(connection, fault);
    } else {
      if (parser.isCollecting()) {
        connection.handler().onBodyCollecting(connection);
      }
      if (parser.hasMoreChunks()) {
        connection.input().schedule();
      }
      return parser.hasMoreChunks();
    }
    reportBodyProgress(connection);
    return true;
  }

  /**
   * The HTTP status code for what is wrong with the input; 0 if nothing is wrong. It is 503 for a
   * request for which the memory budget has no space: none of the request was forwarded, so a retry
   * is safe.
   */
  private static int fault(Connection connection) {
    int fault = connection.parser().fault();
    boolean isStarved = connection.in().isStarved() || connection.parser().isStarved();
    return fault == 0 && isStarved && connection.isServerSide()
        ? HttpStatus.SERVICE_UNAVAILABLE
        : fault;
  }

  /**
   * Reports how far a streamed request has arrived. Its timeout starts when its last byte was sent,
   * and not when an endpoint takes that byte.
   */
  static void reportBodyProgress(Connection connection) {
    HttpMessageParser parser = connection.parser();
    if (!connection.isServerSide() || !parser.isStreaming()) {
      return;
    }
    if (parser.hasRestArrived(connection.in())) {
      connection.handler().onBodyComplete(connection);
      return;
    }
    connection.handler().onBodyProgress(connection, mayBodyHaveEnded(connection));
  }

  private static boolean mayBodyHaveEnded(Connection connection) {
    boolean hasUnread = connection.input().unreadSinceUs() > 0;
    HttpMessageParser parser = connection.parser();
    if (!parser.hasUnknownLength()) {
      return hasUnread && parser.remainingBytes() <= MAX_SENT_UNREAD_BYTES;
    }
    // The end of a chunked body is found only as the body is taken out of the buffer.
    ConnectionRelays relays = connection.relays();
    boolean hasUntaken =
        relays.hasInbound() ? relays.isInboundBehind() : connection.in().size() > 0;
    return hasUnread || hasUntaken;
  }
}
