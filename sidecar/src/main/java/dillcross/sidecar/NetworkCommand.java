package dillcross.sidecar;

/**
 * A command of the coordinator to the network. {@code client} and {@code content} are the network's
 * own objects, which the coordinator only hands back.
 */
public sealed interface NetworkCommand {
  /**
   * Send a request to an endpoint.
   *
   * @param attempt the attempt's number within the request, from 0
   * @param deadlineUs when the attempt will be abandoned, in microseconds of the caller's clock
   */
  record SendAttempt(
      long requestId,
      int attempt,
      Object client,
      String endpoint,
      String address,
      Object content,
      long deadlineUs)
      implements NetworkCommand {}

  /** Abandon an attempt, and report how much of its request was written. */
  record AbandonAttempt(long requestId, int attempt) implements NetworkCommand {}

  /** End an attempt as not sent, unless it was sent. */
  record WithdrawAttempt(long requestId, int attempt) implements NetworkCommand {}

  /** Forward a successful answer to the client. */
  record ForwardResponse(Object client, Object content) implements NetworkCommand {}

  /** Forward an answer that has begun to the client; the rest is streamed as it arrives. */
  record StartStreaming(Object client, Object content) implements NetworkCommand {}

  /** End the answer that is streamed; {@code complete} is false where it broke off. */
  record FinishStreaming(Object client, boolean complete) implements NetworkCommand {}

  /** Forward an answer in which the endpoint says that the request itself is invalid. */
  record ForwardClientError(Object client, Object content) implements NetworkCommand {}

  /**
   * Tell the client that its request was rejected and that a retry is safe.
   *
   * @param retryAfterUs how long the client should wait before a retry, in microseconds; 0 for no
   *     advice
   */
  record RejectRequest(Object client, long retryAfterUs) implements NetworkCommand {}

  /** Tell the client that its request failed; the request may have been executed. */
  record FailRequest(Object client) implements NetworkCommand {}

  /**
   * The endpoint was removed, moved, restarted or is no longer in use: close its idle connections,
   * and those in use once they are free.
   */
  record CloseConnections(String endpoint) implements NetworkCommand {}

  /** Request the changes of the endpoint list since {@code version}; 0 for the complete list. */
  record WatchEndpoints(long version) implements NetworkCommand {}
}
