package dillcross.membership;

/**
 * How long a member is suspect before it is declared dead: long enough for a refutation to come
 * round, and longer while nobody else confirms it or this process is not well itself.
 */
final class SuspicionTimeout {
  /** Members that confirm a suspicion until it is at its shortest. */
  static final int MAX_CONFIRMATIONS = 3;

  private static final double INTERVALS = 4; // times the logarithm of the size: the shortest
  private static final double UNCONFIRMED_FACTOR = 4; // times that, where nobody confirms it

  private final long intervalUs;
  private final MemberTable table;
  private final LocalHealth health;

  SuspicionTimeout(long intervalUs, MemberTable table, LocalHealth health) {
    this.intervalUs = intervalUs;
    this.table = table;
    this.health = health;
  }

  /** The time-out after so many confirmations, in microseconds. */
  long afterUs(int confirmations) {
    double min = INTERVALS * intervalUs * Math.max(1, Math.log10(table.liveCount() + 1.0));
    double counted = Math.min(MAX_CONFIRMATIONS, confirmations);
    double share = Math.log(counted + 1.0) / Math.log(MAX_CONFIRMATIONS + 1.0);
    double max = UNCONFIRMED_FACTOR * min;
    double timeoutUs = max - (UNCONFIRMED_FACTOR - 1) * min * share;
    return (long) (timeoutUs * (1 + Math.min(1, health.multiplier())));
  }
}
