package dillcross.net.http;

/** Names of the protocol's header fields, in lower case, and values that they share. */
public final class HeaderNames {
  /** The client's id of a request. */
  public static final String REQUEST_ID = "request-id";

  /** The timeout of a request, in whole milliseconds from its last byte. */
  public static final String REQUEST_TIMEOUT = "request-timeout-ms";

  /** The key by which endpoints deduplicate retries. */
  public static final String IDEMPOTENCY_KEY = "idempotency-key";

  /** A flag: the client retries a request that it has sent before. */
  public static final String CLIENT_RETRY = "client-retry";

  /** A flag: an endpoint did not start on the request, so that a retry is safe. */
  public static final String NOT_STARTED = "not-started";

  /** How long a client should wait before it retries, in seconds. */
  public static final String RETRY_AFTER = "retry-after";

  /** An endpoint's load report, which this sidecar does not use. */
  public static final String SERVER_LOAD = "server-load";

  /** The tenant that the request is made for. */
  public static final String TENANT = "tenant";

  /** The media type of the body. */
  public static final String CONTENT_TYPE = "content-type";

  /** The host that the request is for. */
  public static final String HOST = "host";

  /** The options of this connection, and the names of hop-by-hop fields. */
  public static final String CONNECTION = "connection";

  /** The {@link #CONNECTION} option of a sender that closes the connection after the message. */
  static final String CONNECTION_CLOSE = "close";

  /** The {@link #CONNECTION} option of an HTTP/1.0 sender that keeps the connection open. */
  public static final String CONNECTION_KEEP_ALIVE = "keep-alive";

  /** The value of a field that is a flag and is set. */
  public static final String FLAG_SET = "1";

  static final String CONTENT_LENGTH = "content-length";
  static final String TRANSFER_ENCODING = "transfer-encoding";
  static final String KEEP_ALIVE = "keep-alive";
  static final String EXPECT = "expect";
  static final String ALLOW = "allow";

  private HeaderNames() {}
}
