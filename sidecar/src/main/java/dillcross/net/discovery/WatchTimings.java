package dillcross.net.discovery;

/**
 * Times of discovery calls, in microseconds. They are derived from one deadline: the protocol
 * counts a sidecar as notified {@link #NOTIFIED_WITHIN_US} after discovery has an update and is
 * reachable, whatever the outcome of earlier calls.
 *
 * <p>A watch without a response fails after {@link #WATCH_US} + {@link #GRACE_US}, and each later
 * call is followed by the next after {@link #OVERLAP_US}, with a backoff before each. So two more
 * calls begin within the deadline, even if one was made just before discovery became reachable.
 */
final class WatchTimings {
  /** The protocol's deadline for updates. */
  static final long NOTIFIED_WITHIN_US = 6_000_000;

  /** The longest backoff after a call without a response, before jitter. */
  static final long MAX_BACKOFF_US = NOTIFIED_WITHIN_US / 30;

  /**
   * The longest backoff after a rejected call, before jitter. Longer than {@link #MAX_BACKOFF_US},
   * because a fleet that repeats its calls at once keeps discovery overloaded; short enough for two
   * more calls within the deadline.
   */
  static final long MAX_OVERLOAD_BACKOFF_US = NOTIFIED_WITHIN_US * 5 / 18;

  /** How long discovery may hold back the response to a watch until there is an update. */
  static final long WATCH_US = NOTIFIED_WITHIN_US / 4;

  /** How long after {@link #WATCH_US} a watch without a response counts as failed. */
  static final long GRACE_US = NOTIFIED_WITHIN_US / 10;

  /**
   * The time from the start of a call that follows a failure to the start of the next call. It is
   * the longest time that leaves room for a third call within the deadline, because more calls
   * lower the throughput of an overloaded discovery service.
   */
  static final long OVERLAP_US = NOTIFIED_WITHIN_US * 31 / 60;

  /**
   * How long discovery may hold back the response to a call after a failure. Updates that were
   * missed are returned at once.
   */
  static final long CATCH_UP_US = 250_000;

  private WatchTimings() {}
}
