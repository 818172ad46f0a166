package dillcross.net.discovery;

import dillcross.net.connection.Connection;

/** One call to discovery. Plain state. */
final class WatchCall {
  /** The version of the endpoint list that is known; 0 to ask for all of it. */
  final long sinceVersion;

  /** Null until one is opened. */
  Connection connection;

  /** By then it is answered, or another call begins beside it. */
  long nextCallUs;

  WatchCall(long sinceVersion, long nextCallUs) {
    this.sinceVersion = sinceVersion;
    this.nextCallUs = nextCallUs;
  }

  boolean isConnected() {
    return connection != null && connection.isConnected();
  }
}
