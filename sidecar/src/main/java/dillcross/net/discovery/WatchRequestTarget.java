package dillcross.net.discovery;

/** The target of the discovery protocol's watch request. */
final class WatchRequestTarget {
  private static final String PATH = "/v1/servers";

  /** The version that is known; the response holds what is newer. */
  private static final String KNOWN_VERSION = "since";

  /** How long the response may be held back until there is an update. */
  private static final String WAIT_MS = "timeout_ms";

  private static final int MICROS_PER_MILLI = 1000;

  private WatchRequestTarget() {}

  /** Watches for what is newer than {@code version}, for at most {@code waitUs}. */
  static String of(long version, long waitUs) {
    long waitMs = waitUs / MICROS_PER_MILLI;
    return PATH + "?" + KNOWN_VERSION + "=" + version + "&" + WAIT_MS + "=" + waitMs;
  }
}
