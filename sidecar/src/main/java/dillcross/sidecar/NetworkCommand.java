package dillcross.sidecar;

/** One thing for the network to carry out. {@code client} and {@code content} are opaque here. */
public sealed interface NetworkCommand {
  /**
   * Send a request to an endpoint.
   *
   * @param attempt its number within the request, from 0
   * @param deadlineUs when it will be abandoned, in microseconds of the caller's clock
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

  /** Stop waiting for an attempt, and report how far it came. */
  record AbandonAttempt(long requestId, int attempt) implements NetworkCommand {}

  /** Forward a successful answer to the client. */
  record ForwardResponse(Object client, Object content) implements NetworkCommand {}

  /** Forward an answer that has begun to the client; the rest is streamed as it arrives. */
  record StartStreaming(Object client, Object content) implements NetworkCommand {}

  /** The answer that is streamed has ended; {@code complete} is false where it broke off. */
  record FinishStreaming(Object client, boolean complete) implements NetworkCommand {}

  /** Tell the client that its request is at fault; the content is the endpoint's answer. */
  record ForwardClientError(Object client, Object content) implements NetworkCommand {}

  /** Tell the client that a retry is safe, after {@code retryAfterUs} if that is not 0. */
  record RejectRequest(Object client, long retryAfterUs) implements NetworkCommand {}

  /** Tell the client that its request failed, with no promise. */
  record FailRequest(Object client) implements NetworkCommand {}

  /**
   * The endpoint was removed, moved, restarted or is no longer in use: close its idle connections,
   * and those in use once they are free.
   */
  record CloseConnections(String endpoint) implements NetworkCommand {}

  /** Watch the endpoint list for what is newer than that version; 0 for all of it. */
  record WatchEndpoints(long version) implements NetworkCommand {}
}
