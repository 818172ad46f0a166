package dillcross.net.connection;

import dillcross.net.http.HttpMessage;

/** Handles the messages of connections, and learns when a connection is gone. */
public interface MessageHandler {
  /** A message has arrived, complete or with the first bytes of a body that is streamed. */
  void onMessage(Connection connection, HttpMessage message);

  /** What has arrived can't be read as a message; {@code status} says why. */
  void onMalformedMessage(Connection connection, int status);

  /** The last byte of a streamed body has arrived; may be called again. */
  default void onBodyComplete(Connection connection) {
    // a response's receiver does not wait for it
  }

  /** The connection was closed. */
  void onClosed(Connection connection);
}
