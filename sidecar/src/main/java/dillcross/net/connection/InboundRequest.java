package dillcross.net.connection;

import dillcross.net.http.HttpRequest;

/**
 * A request as it is sent to endpoints. It is dropped when its client has the answer, although an
 * attempt that can't be cancelled may still refer to this object. Belongs to the selector thread.
 */
public final class InboundRequest {
  private final Connection source;
  private HttpRequest request; // null once it was dropped

  /**
   * Creates a request that can be sent.
   *
   * @param source the client's connection, on which the rest of a streamed body arrives; null for a
   *     request that the sidecar makes itself
   */
  public InboundRequest(HttpRequest request, Connection source) {
    this.request = request;
    this.source = source;
  }

  /** The request; null once it was dropped. */
  public HttpRequest request() {
    return request;
  }

  /** The client's connection; null for a request that the sidecar makes itself. */
  public Connection source() {
    return source;
  }

  /** Drops the request, because no attempt will be sent any more. */
  public void drop() {
    request = null;
  }
}
