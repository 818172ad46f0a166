package dillcross.net.http;

/** The HTTP status codes that the sidecar sends or tells apart. */
public final class HttpStatus {
  /** The request succeeded. */
  public static final int OK = 200;

  /** The request is malformed. */
  public static final int BAD_REQUEST = 400;

  /** Nothing is served at the path. */
  public static final int NOT_FOUND = 404;

  /** The path is served for another method. */
  public static final int METHOD_NOT_ALLOWED = 405;

  /** The request did not arrive completely in time. */
  public static final int REQUEST_TIMEOUT = 408;

  /** The body is larger than allowed. */
  public static final int CONTENT_TOO_LARGE = 413;

  /** The request came as early data, and might be a replay. */
  public static final int TOO_EARLY = 425;

  /** The sender sends too many requests. */
  public static final int TOO_MANY_REQUESTS = 429;

  /** The head is larger than allowed. */
  public static final int HEADER_FIELDS_TOO_LARGE = 431;

  /** The request failed, and may have run. */
  public static final int BAD_GATEWAY = 502;

  /** The request was rejected, and a retry is safe. */
  public static final int SERVICE_UNAVAILABLE = 503;

  /** An intermediary had no response in time. */
  public static final int GATEWAY_TIMEOUT = 504;

  static final int NO_CONTENT = 204;
  static final int NOT_MODIFIED = 304;

  private static final int CLASS_SIZE = 100;
  private static final int CLIENT_ERROR_CLASS = 4;

  private HttpStatus() {}

  /** Whether the status is of the class 1xx, so that a final response follows. */
  static boolean isInterim(int status) {
    return status < OK;
  }

  /** Whether the status is of the class 4xx. */
  public static boolean isClientError(int status) {
    return status / CLASS_SIZE == CLIENT_ERROR_CLASS;
  }

  /** The reason phrase of a status that the sidecar chooses; "Other" for any other status. */
  static String reason(int status) {
    return switch (status) {
      case OK -> "OK";
      case BAD_REQUEST -> "Bad Request";
      case NOT_FOUND -> "Not Found";
      case METHOD_NOT_ALLOWED -> "Method Not Allowed";
      case REQUEST_TIMEOUT -> "Request Timeout";
      case CONTENT_TOO_LARGE -> "Content Too Large";
      case HEADER_FIELDS_TOO_LARGE -> "Request Header Fields Too Large";
      case BAD_GATEWAY -> "Bad Gateway";
      case SERVICE_UNAVAILABLE -> "Service Unavailable";
      default -> "Other";
    };
  }

  /** Whether a response of this status has no body, whatever its fields say. */
  static boolean hasNoBody(int status) {
    return isInterim(status) || status == NO_CONTENT || status == NOT_MODIFIED;
  }
}
