package dillcross.net.discovery;

import dillcross.net.connection.Connection;

/** One watch call to the discovery service. Belongs to the selector thread. */
final class WatchCall {
  private final long sinceVersion;
  private Connection connection; // null until one is opening, and after it is released
  private long nextCallUs;

  WatchCall(long sinceVersion, long nextCallUs) {
    this.sinceVersion = sinceVersion;
    this.nextCallUs = nextCallUs;
  }

  /** The version of the endpoint list that the sidecar has; 0 requests the complete list. */
  long sinceVersion() {
    return sinceVersion;
  }

  /** When this call times out and another one begins beside it, in microseconds. */
  long nextCallUs() {
    return nextCallUs;
  }

  void setNextCallUs(long newNextCallUs) {
    nextCallUs = newNextCallUs;
  }

  /** Sets the connection that carries the call; null if none could be opened. */
  void useConnection(Connection newConnection) {
    connection = newConnection;
  }

  /** Removes the connection from the call and returns it; null if the call has none. */
  Connection releaseConnection() {
    Connection released = connection;
    connection = null;
    return released;
  }

  /** The connection that carries the call; null if the call has none. */
  Connection connection() {
    return connection;
  }

  /** Whether bytes of the response have arrived since the last call of this method. */
  boolean noteInput(long nowUs) {
    if (!isConnected()) {
      return false;
    }
    connection.noteProgress(nowUs);
    return connection.hasPartialMessage() && connection.activity().lastInputUs() == nowUs;
  }

  boolean isConnected() {
    return connection != null && connection.isConnected();
  }
}
