package dillcross.net.client;

import dillcross.net.connection.InboundRequest;

/**
 * A connection's exchange: the request that waits for its response.
 *
 * @param requestId the coordinator's id
 * @param clientId the client's id
 * @param isIdempotent whether the request may run twice
 * @param acceptedUs when it was accepted, in microseconds
 */
record PendingRequest(
    long requestId,
    String clientId,
    boolean isIdempotent,
    InboundRequest inbound,
    long acceptedUs) {
  private static final int MICROS_PER_MILLI = 1000;

  /** The request and its age, for the log. */
  String describe(long nowUs) {
    long elapsedMs = (nowUs - acceptedUs) / MICROS_PER_MILLI;
    return "id="
        + clientId
        + ", target="
        + inbound.request().target()
        + ", after="
        + elapsedMs
        + "ms";
  }
}
