package dillcross.net.discovery;

/** The target of the discovery protocol's watch request. */
final class WatchRequestTarget {
  private static final String PATH = "/v1/servers";

  /** The version that the sidecar has; the response contains later changes. */
  private static final String KNOWN_VERSION = "since";

  /** How long the response may be held back until there is an update. */
  private static final String WAIT_MS = "timeout_ms";

  private static final int MICROS_PER_MILLI = 1000;

  private WatchRequestTarget() {}

  /**
   * The target of a request for changes after {@code version}. Discovery holds back its response
   * for at most {@code waitUs} microseconds.
   */
  static String of(long version, long waitUs) {
    long waitMs = waitUs / MICROS_PER_MILLI;
    return PATH + "?" + KNOWN_VERSION + "=" + version + "&" + WAIT_MS + "=" + waitMs;
  }
}
