package dillcross.emulator.simulation;

/** HTTP status codes that simulated clients and endpoints send or expect. */
final class HttpStatus {
  static final int OK = 200;
  static final int BAD_REQUEST = 400;
  static final int NOT_FOUND = 404;
  static final int METHOD_NOT_ALLOWED = 405;
  static final int CONTENT_TOO_LARGE = 413;
  static final int TOO_MANY_REQUESTS = 429;
  static final int INTERNAL_SERVER_ERROR = 500;
  static final int SERVICE_UNAVAILABLE = 503;
  static final int GATEWAY_TIMEOUT = 504;

  private HttpStatus() {}

  /** Whether the sidecar rejected the request, which was then not executed. */
  static boolean isRejection(int status) {
    return status == SERVICE_UNAVAILABLE || status == TOO_MANY_REQUESTS;
  }

  /** Whether the sidecar found the request itself invalid. */
  static boolean isInvalidRequest(int status) {
    return status == BAD_REQUEST
        || status == NOT_FOUND
        || status == METHOD_NOT_ALLOWED
        || status == CONTENT_TOO_LARGE;
  }
}
