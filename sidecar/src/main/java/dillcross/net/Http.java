package dillcross.net;

import java.nio.charset.StandardCharsets;

/**
 * Bytes of the rings to messages and back. One message at a time goes up; the next waits in the
 * ring.
 */
final class Http {
  private static final byte[] CONTINUE =
      "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
  private static final int NO_MEMORY =
      503; // nothing of it has gone further, so another try is harmless

  private Http() {}

  /** Takes on what has come on a connection, and hands its part a message if that makes one. */
  static void read(Connection connection, boolean server) {
    if (connection.reader.flows() && !connection.closing) {
      if (server && connection.ended) {
        connection
            .close(); // a client that closes has gone, and the rest of what it asked for goes no
        // further
        return;
      }
      came(
          connection,
          server); // a client's time begins with its last byte, not when an endpoint takes that
      if (connection.source != null) {
        connection.source.pump();
      }
      connection.hold();
      return;
    }
    boolean busy =
        server && connection.user != null; // what comes behind a request waits in the ring
    if (!connection.closing && !busy) {
      Message message =
          connection.reader.read(connection.in, connection.ended && !connection.reset);
      message =
          message != null && connection.reader.flows() ? message.flowing(connection) : message;
      if (server && connection.reader.takeWantsMore()) {
        connection.out.add(CONTINUE);
        connection.flush();
      }
      int fault =
          connection.reader.fault() == 0 && server && connection.in.starved()
              ? NO_MEMORY
              : connection.reader.fault();
      if (message != null || fault != 0) {
        connection.part.message(connection, message, fault);
        came(connection, server);
        return;
      }
    }
    if (connection.ended || connection.full() && !busy) {
      connection.close();
    } else if (busy) {
      connection.hold();
    }
  }

  private static void came(Connection connection, boolean server) {
    if (server && connection.reader.restCame(connection.in)) {
      connection.part.came(connection);
    }
  }

  /**
   * Sends a message; where there is no room for it nothing of it is sent and the connection closes.
   */
  static void write(Connection connection, Message message) {
    if (connection.add(message)) {
      connection.flush();
    } else {
      connection.close();
    }
  }
}
