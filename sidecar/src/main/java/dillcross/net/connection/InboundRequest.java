package dillcross.net.connection;

import dillcross.net.buffer.MemoryHold;
import dillcross.net.http.HttpRequest;

/**
 * A request as it is sent to endpoints. Counts who still refers to it, its client and its attempts,
 * and returns its memory to the budget after the last of them: an attempt that can't be cancelled
 * may last longer than its client waits. Belongs to the selector thread.
 */
public final class InboundRequest {
  private final HttpRequest request;
  private final Connection source;
  private final MemoryHold hold; // null for a request that the sidecar makes itself
  private int users = 1;
  private int possibleRuns; // attempts that were sent, and are not known not to have run

  /**
   * Creates a request with one user, the client.
   *
   * @param source the client's connection, on which the rest of a streamed body arrives
   * @param hold the memory of the request, which is taken over
   */
  public InboundRequest(HttpRequest request, Connection source, MemoryHold hold) {
    this.request = request;
    this.source = source;
    this.hold = hold;
  }

  /** Creates a request that the sidecar makes itself. */
  public InboundRequest(HttpRequest request) {
    this(request, null, null);
  }

  /** The request. */
  public HttpRequest request() {
    return request;
  }

  /** The client's connection; null for a request that the sidecar makes itself. */
  public Connection source() {
    return source;
  }

  /** Records that the request is sent to an endpoint, which may run it. */
  public void markSent() {
    possibleRuns++;
  }

  /** Records that an endpoint to which the request was sent did not run it. */
  public void markNotRun() {
    possibleRuns--;
  }

  /** Whether an endpoint may have run the request, or may still run it. */
  public boolean mayHaveRun() {
    return possibleRuns > 0;
  }

  /** Adds a user, which has to call {@link #release} once. */
  public void retain() {
    users++;
  }

  /** Removes a user; after the last one the memory of the request counts as free. */
  public void release() {
    users--;
    if (users == 0 && hold != null) {
      hold.close();
    }
  }
}
