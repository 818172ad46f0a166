package dillcross.net.connection;

import dillcross.net.http.HttpMessage;

/** Handles the messages that arrive on connections, and their closing. */
public interface MessageHandler {
  /** A message has arrived, complete or with the first bytes of a body that is streamed. */
  void onMessage(Connection connection, HttpMessage message);

  /**
   * The input is not a valid message, or there is no memory for it; {@code status} is the HTTP
   * status code that says which.
   */
  void onMalformedMessage(Connection connection, int status);

  /**
   * The last byte of a streamed request body has arrived. May be called more than once for a body.
   */
  default void onBodyComplete(Connection connection) {
    // does nothing by default, because handlers of responses receive no request bodies
  }

  /**
   * A part of a streamed request body has arrived or was passed on, and its last byte has not.
   * Where {@code mayHaveEnded}, the peer may have sent that byte, because some input was not read
   * yet.
   */
  default void onBodyProgress(Connection connection, boolean mayHaveEnded) {
    // does nothing by default, because handlers of responses receive no request bodies
  }

  /** So much input follows an open request that no more of it is read before its response. */
  default void onInputFull(Connection connection) {
    // does nothing by default, because only requests can be followed by others
  }

  /**
   * The first bytes of a body of unknown length have arrived, but too few to pass them on. May be
   * called more than once for a message; {@link Connection#passOnCollected} passes them on.
   */
  default void onBodyCollecting(Connection connection) {
    // does nothing by default, because most handlers wait for the whole body
  }

  /** The connection was closed; called once. */
  void onClosed(Connection connection);
}
