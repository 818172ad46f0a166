package dillcross.net.endpoint;

import dillcross.net.connection.Connection;
import dillcross.net.connection.InboundResponse;
import dillcross.sidecar.NetworkCommand;
import dillcross.sidecar.WriteProgress;

/** One attempt on the network. Plain state. */
final class InFlightAttempt {
  final NetworkCommand.SendAttempt command;
  final EndpointConnectionPool.Endpoint endpoint;
  final long sentUs;
  final long connectDeadlineUs;

  /** Null until one is opened or taken from the pool. */
  Connection connection;

  /** Whether its request was handed to the connection. */
  boolean isSent;

  /** The response that is streamed; null before. */
  InboundResponse streaming;

  InFlightAttempt(
      NetworkCommand.SendAttempt command,
      EndpointConnectionPool.Endpoint endpoint,
      long sentUs,
      long connectTimeoutUs) {
    this.command = command;
    this.endpoint = endpoint;
    this.sentUs = sentUs;
    connectDeadlineUs = sentUs + connectTimeoutUs;
  }

  WriteProgress progress() {
    if (!isSent) {
      return WriteProgress.NOT_CONNECTED;
    }
    return connection.isFullyWritten()
        ? WriteProgress.FULLY_WRITTEN
        : WriteProgress.PARTIALLY_WRITTEN;
  }
}
