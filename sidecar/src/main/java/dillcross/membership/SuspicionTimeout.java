package dillcross.membership;

/**
 * Lifeguard's suspicion timeout: the time for which a member is suspect before it is declared dead.
 * The timeout is long enough for a refutation to spread, shrinks as other members confirm the
 * suspicion, and is doubled while this process is unhealthy itself.
 */
final class SuspicionTimeout {
  /** The number of confirmations from which on the timeout is at its minimum. */
  static final int MAX_CONFIRMATIONS = 3;

  // The minimum timeout is this many probe intervals times max(1, log10(number of members)).
  private static final double MIN_TIMEOUT_INTERVALS = 4;
  private static final double UNCONFIRMED_FACTOR = 4; // times the minimum, if nobody confirms

  private final long intervalUs;
  private final MemberTable table;
  private final LocalHealth health;

  SuspicionTimeout(long intervalUs, MemberTable table, LocalHealth health) {
    this.intervalUs = intervalUs;
    this.table = table;
    this.health = health;
  }

  /** The timeout after that many confirmations, in microseconds from the start of the suspicion. */
  long timeoutUs(int confirmations) {
    double memberScale = Math.max(1, Math.log10(table.liveCount() + 1.0));
    double minUs = MIN_TIMEOUT_INTERVALS * intervalUs * memberScale;
    double counted = Math.min(MAX_CONFIRMATIONS, confirmations);
    double confirmedShare = Math.log(counted + 1.0) / Math.log(MAX_CONFIRMATIONS + 1.0);
    double maxUs = UNCONFIRMED_FACTOR * minUs;
    double timeoutUs = maxUs - (UNCONFIRMED_FACTOR - 1) * minUs * confirmedShare;
    return (long) (timeoutUs * (1 + Math.min(1, health.multiplier())));
  }
}
