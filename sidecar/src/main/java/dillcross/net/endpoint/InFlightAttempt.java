package dillcross.net.endpoint;

import dillcross.net.connection.Connection;
import dillcross.net.connection.InboundRequest;
import dillcross.net.connection.InboundResponse;
import dillcross.net.http.HeaderNames;
import dillcross.sidecar.AttemptResult;
import dillcross.sidecar.NetworkCommand;
import dillcross.sidecar.WriteProgress;

/**
 * One attempt that has started and not ended. Times are in microseconds. Belongs to the selector
 * thread.
 */
final class InFlightAttempt {
  private static final int MICROS_PER_MILLI = 1000;

  private final NetworkCommand.SendAttempt command;
  private final EndpointConnectionPool.Endpoint endpoint;
  private final long startedUs;
  private final long connectDeadlineUs;
  private Connection connection; // null until one is opening or taken from the pool
  private boolean isSent;
  private boolean isCollecting; // its response is of unknown length, and has begun
  private InboundResponse streaming; // the response; null unless its body is streamed

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

  /** The request that is sent. */
  InboundRequest request() {
    return (InboundRequest) command.content();
  }

  /** The pool's object for the endpoint, from when the attempt was started. */
  EndpointConnectionPool.Endpoint endpoint() {
    return endpoint;
  }

  long startedUs() {
    return startedUs;
  }

  long connectDeadlineUs() {
    return connectDeadlineUs;
  }

  /** Sets the connection that is opening for the attempt. */
  void waitFor(Connection opening) {
    connection = opening;
  }

  /**
   * Sets the connection, which is connected. If it closes from now on, the attempt ends, whether
   * its request was sent or not.
   */
  void takeConnection(Connection connected) {
    connection = connected;
    connected.beginExchange(this);
  }

  /** The connection; null until one is opening or taken from the pool. */
  Connection connection() {
    return connection;
  }

  /** Records that the request is being handed to the connection. */
  void markSent() {
    isSent = true;
  }

  /** Whether the request was handed to the connection. */
  boolean isSent() {
    return isSent;
  }

  /** Records that the response is collected; returns false if that was recorded before. */
  boolean startCollecting() {
    boolean isFirst = !isCollecting;
    isCollecting = true;
    return isFirst;
  }

  /** Sets the response that is streamed to the client. */
  void startStreaming(InboundResponse response) {
    streaming = response;
  }

  /** Whether {@code response} is the one that is streamed. */
  @SuppressWarnings("ReferenceEquality") // the same object, not an equal one
  boolean isStreaming(InboundResponse response) {
    return streaming == response;
  }

  /** How the attempt has ended, for the log. */
  String describe(AttemptResult result, long nowUs) {
    boolean hasAnswerBegun = isSent && connection.hasPartialMessage();
    return "id="
        + request().request().field(HeaderNames.REQUEST_ID)
        + ", attempt="
        + command.attempt()
        + ", endpoint="
        + command.endpoint()
        + ", end="
        + result.kind()
        + ", request="
        + result.progress()
        + ", answer="
        + (hasAnswerBegun ? "begun" : "none")
        + ", after="
        + (nowUs - startedUs) / MICROS_PER_MILLI
        + "ms";
  }

  /** How much of the request has been written. */
  WriteProgress progress() {
    if (!isSent) {
      return WriteProgress.NOT_CONNECTED;
    }
    return connection.isFullyWritten()
        ? WriteProgress.FULLY_WRITTEN
        : WriteProgress.PARTIALLY_WRITTEN;
  }
}
