package dillcross.net.endpoint;

import dillcross.net.connection.Connection;
import dillcross.net.connection.InboundResponse;
import dillcross.sidecar.NetworkCommand;
import dillcross.sidecar.WriteProgress;

/** One attempt on the network. Times are in microseconds. Belongs to the selector thread. */
final class InFlightAttempt {
  private final NetworkCommand.SendAttempt command;
  private final EndpointConnectionPool.Endpoint endpoint;
  private final long startedUs;
  private final long connectDeadlineUs;
  private Connection connection; // null until one is opening or taken from the pool
  private boolean isSent;
  private InboundResponse streaming; // null until its response is streamed

  InFlightAttempt(
      NetworkCommand.SendAttempt command,
      EndpointConnectionPool.Endpoint endpoint,
      long startedUs,
      long connectTimeoutUs) {
    this.command = command;
    this.endpoint = endpoint;
    this.startedUs = startedUs;
    connectDeadlineUs = startedUs + connectTimeoutUs;
  }

  /** The coordinator's command that started the attempt. */
  NetworkCommand.SendAttempt command() {
    return command;
  }

  /** The endpoint's connections, as they were when the attempt was started. */
  EndpointConnectionPool.Endpoint endpoint() {
    return endpoint;
  }

  long startedUs() {
    return startedUs;
  }

  long connectDeadlineUs() {
    return connectDeadlineUs;
  }

  /** Notes the connection that is opening for the attempt. */
  void waitFor(Connection opening) {
    connection = opening;
  }

  /** Takes a connection that is up; if that closes, the attempt ends, sent or not. */
  void takeConnection(Connection connected) {
    connection = connected;
    connected.beginExchange(this);
  }

  /** The connection; null until one is opening or taken from the pool. */
  Connection connection() {
    return connection;
  }

  /** Notes that the request is handed to the connection. */
  void markSent() {
    isSent = true;
  }

  /** Whether the request was handed to the connection. */
  boolean isSent() {
    return isSent;
  }

  /** Notes the response that is streamed to the client. */
  void startStreaming(InboundResponse response) {
    streaming = response;
  }

  /** Whether it is this very response that is streamed. */
  @SuppressWarnings("ReferenceEquality") // the very response, and not one that equals it
  boolean isStreaming(InboundResponse response) {
    return streaming == response;
  }

  /** How far the request was written. */
  WriteProgress progress() {
    if (!isSent) {
      return WriteProgress.NOT_CONNECTED;
    }
    return connection.isFullyWritten()
        ? WriteProgress.FULLY_WRITTEN
        : WriteProgress.PARTIALLY_WRITTEN;
  }
}
