package dillcross.net.connection;

import dillcross.net.http.HttpMessage;
import dillcross.net.http.HttpMessageParser;
import dillcross.net.http.HttpStatus;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Turns what has arrived on a connection into messages: one at a time, the next waits. */
final class HttpConnectionCodec {
  private static final byte[] CONTINUE =
      "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private HttpConnectionCodec() {}

  /**
   * Handles what has arrived on the connection, and passes a message to its handler if complete.
   */
  static void read(Connection connection) {
    if (connection.parser().isStreaming() && !connection.isClosing()) {
      continueBody(connection);
      return;
    }
    // What follows an open request waits in the buffer.
    boolean isBusy = connection.isServerSide() && connection.exchange() != null;
    if (!connection.isClosing() && !isBusy && readMessage(connection)) {
      return;
    }
    if (connection.hasInputEnded() || (connection.isInputFull() && !isBusy)) {
      connection.close();
    } else if (isBusy) {
      connection.pauseIfFull();
    }
  }

  private static void continueBody(Connection connection) {
    if (connection.isServerSide() && connection.hasInputEnded()) {
      connection.close(); // the client has gone, and the rest of its request goes no further
      return;
    }
    reportBodyComplete(connection);
    connection.relays().transferInbound();
    connection.pauseIfFull();
  }

  /** Whether a message, or a fault in it, was passed to the handler. */
  private static boolean readMessage(Connection connection) {
    HttpMessageParser parser = connection.parser();
    Optional<HttpMessage> message =
        parser.parse(connection.in(), connection.hasInputEndedCleanly());
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
      return false;
    }
    reportBodyComplete(connection);
    return true;
  }

  /**
   * The status of what is wrong with the input; 0 if nothing is. A connection that got no memory is
   * answered 503: nothing of its request was forwarded, so a retry is safe.
   */
  private static int fault(Connection connection) {
    int fault = connection.parser().fault();
    boolean isStarved = connection.isServerSide() && connection.in().isStarved();
    return fault == 0 && isStarved ? HttpStatus.SERVICE_UNAVAILABLE : fault;
  }

  /** A client's time begins with its last byte, not when an endpoint takes that. */
  private static void reportBodyComplete(Connection connection) {
    if (connection.isServerSide() && connection.parser().hasRestArrived(connection.in())) {
      connection.handler().onBodyComplete(connection);
    }
  }
}
