package dillcross.net.connection;

import dillcross.net.http.HttpResponse;

/**
 * An endpoint's response whose body is streamed. Its first bytes are dropped once they were sent,
 * although the attempt refers to this object for as long as the rest takes. Belongs to the selector
 * thread.
 */
public final class InboundResponse {
  private final Connection source;
  private HttpResponse response;

  /**
   * Creates a response that has begun.
   *
   * @param source the connection to the endpoint, on which the rest of the body arrives
   */
  public InboundResponse(HttpResponse response, Connection source) {
    this.response = response;
    this.source = source;
  }

  /** The response, with the first bytes of its body until they are dropped. */
  public HttpResponse response() {
    return response;
  }

  /** The connection to the endpoint. */
  public Connection source() {
    return source;
  }

  /** Drops the first bytes of the body, because they were sent to the client. */
  public void dropFirstBytes() {
    response = response.withoutBody();
  }
}
