package dillcross.net.discovery;

/** Why a watch call brought no endpoint list: the reason for the log, and the longest backoff. */
enum WatchFailure {
  /** No connection could be opened. */
  CONNECT_FAILED("connect failed", WatchTimings.MAX_BACKOFF_US),
  /** The call timed out without a response. */
  TIMED_OUT("no response in time", WatchTimings.MAX_BACKOFF_US),
  /** The connection was closed before the response. */
  CONNECTION_CLOSED("connection closed", WatchTimings.MAX_BACKOFF_US),
  /** The response is not HTTP, or too large. */
  MALFORMED_RESPONSE("malformed or too large response", WatchTimings.MAX_BACKOFF_US),
  /** The response has an error status or a malformed list. */
  REJECTED("error status or malformed list", WatchTimings.MAX_OVERLOAD_BACKOFF_US);

  private final String reason;
  private final long maxBackoffUs;

  WatchFailure(String reason, long maxBackoffUs) {
    this.reason = reason;
    this.maxBackoffUs = maxBackoffUs;
  }

  /** The reason, for the log. */
  String reason() {
    return reason;
  }

  /** The longest backoff before the next call, in microseconds. */
  long maxBackoffUs() {
    return maxBackoffUs;
  }
}
