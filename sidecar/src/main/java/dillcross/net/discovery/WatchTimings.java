package dillcross.net.discovery;

/**
 * Times of discovery calls, all parts of one deadline: whatever became of earlier calls, an update
 * counts as notified so long after discovery had it and could be reached.
 *
 * <p>A watch that falls silent is noticed after {@link #WATCH_US} + {@link #GRACE_US}, and a call
 * after that is followed by the next after {@link #OVERLAP_US}, each with a backoff before it: so
 * from the silence, and from a return that a call was just too early for, two further calls begin
 * in time.
 */
final class WatchTimings {
  /** The deadline, by the protocol. */
  static final long NOTIFIED_WITHIN_US = 6_000_000;

  /** Before a call after one that nothing answered; times 1.5 at the most. */
  static final long MAX_BACKOFF_US = NOTIFIED_WITHIN_US / 30;

  /**
   * Before a call after one that was rejected. A fleet that comes again at once keeps discovery
   * overloaded, and nobody is served (64 of 93 processes for nine seconds). So these backoffs grow;
   * with the longest of them there is time for two more calls still.
   */
  static final long MAX_OVERLOAD_BACKOFF_US = NOTIFIED_WITHIN_US * 5 / 18;

  /** That a watch waits for an update; silence is not noticed sooner. */
  static final long WATCH_US = NOTIFIED_WITHIN_US / 4;

  /** Beyond that, until the next call begins. */
  static final long GRACE_US = NOTIFIED_WITHIN_US / 10;

  /**
   * From the start of a call after a failure to that of the next: as long as leaves a third one
   * time. A call that waits in the queue of overloaded discovery must not be doubled sooner: that
   * served 5 calls a second in place of 10 to 17 (a day of 107 processes).
   */
  static final long OVERLAP_US = NOTIFIED_WITHIN_US * 31 / 60;

  /** That a call after a failure waits for an update: what was missed is due. */
  static final long CATCH_UP_US = 250_000;

  private WatchTimings() {}
}
