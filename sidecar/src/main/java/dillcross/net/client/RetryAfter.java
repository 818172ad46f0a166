package dillcross.net.client;

/**
 * When a client may come back whose request was rejected before anything of it was forwarded, for a
 * cause that lasts about as long as a request takes to time out. Belongs to the selector thread.
 */
final class RetryAfter {
  // Requests that stop half way are timed out by then.
  private static final long RETRY_AFTER_US = 1_000_000;

  private long maxUs; // 0 to say nothing

  /** Sets the longest time that may be told, in microseconds; 0 to tell none. */
  void configure(long newMaxUs) {
    maxUs = newMaxUs;
  }

  /** The time from now, in microseconds; 0 to tell none. */
  long us() {
    return Math.min(maxUs, RETRY_AFTER_US);
  }
}
