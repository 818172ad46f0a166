package dillcross.net.http;

/** Names of the protocol's header fields, in lower case. */
public final class HeaderNames {
  /** The client's own id of a request. */
  public static final String REQUEST_ID = "request-id";

  /** How long the sender waits, in whole milliseconds. */
  public static final String REQUEST_TIMEOUT = "request-timeout-ms";

  /** By which endpoints recognise a repeat. */
  public static final String IDEMPOTENCY_KEY = "idempotency-key";

  /** 1 where the client tried before. */
  public static final String CLIENT_RETRY = "client-retry";

  /** 1 where an endpoint did not start on the request. */
  public static final String NOT_STARTED = "not-started";

  /** How long to wait before another try, in seconds. */
  public static final String RETRY_AFTER = "retry-after";

  /** An endpoint's load report. */
  public static final String SERVER_LOAD = "server-load";

  /** On whose behalf the client asks. */
  public static final String TENANT = "tenant";

  /** The media type of the body. */
  public static final String CONTENT_TYPE = "content-type";

  /** The host that the sender means. */
  public static final String HOST = "host";

  /** What becomes of the connection, and the fields that are for this hop alone. */
  public static final String CONNECTION = "connection";

  static final String CONTENT_LENGTH = "content-length";
  static final String TRANSFER_ENCODING = "transfer-encoding";
  static final String EXPECT = "expect";
  static final String ALLOW = "allow";

  private HeaderNames() {}
}
