package dillcross.net.membership;

/**
 * Limits the rate at which datagrams are read, so that a flood of them does not keep the selector
 * thread from requests: reading takes a few hundredths of a core at most. Datagrams from addresses
 * of live members have a separate, higher limit.
 */
final class DatagramLimiter {
  private static final double FROM_MEMBERS_PER_SECOND = 2000;
  private static final double FROM_OTHERS_PER_SECOND = 100;
  private static final double MEMBERS_BURST = FROM_MEMBERS_PER_SECOND / 10;
  private static final double OTHERS_BURST = FROM_OTHERS_PER_SECOND / 2;
  private static final double MICROS_PER_SECOND = 1e6;

  // Tokens left: datagrams that may be read now from live members, and from all other senders.
  private double fromMembers = MEMBERS_BURST;
  private double fromOthers = OTHERS_BURST;
  private long refilledUs;

  /** Adds the datagrams that may be read since the last call, up to the size of a burst. */
  void refill(long nowUs) {
    long elapsedUs = nowUs - refilledUs;
    refilledUs = nowUs;
    double members = elapsedUs * FROM_MEMBERS_PER_SECOND / MICROS_PER_SECOND;
    double others = elapsedUs * FROM_OTHERS_PER_SECOND / MICROS_PER_SECOND;
    fromMembers = Math.min(MEMBERS_BURST, fromMembers + members);
    fromOthers = Math.min(OTHERS_BURST, fromOthers + others);
  }

  /** Takes the token to read one datagram; returns false if the sender's kind has none left. */
  boolean tryAcquire(boolean isFromMember) {
    if (isFromMember) {
      boolean allowed = fromMembers >= 1;
      fromMembers -= allowed ? 1 : 0;
      return allowed;
    }
    boolean allowed = fromOthers >= 1;
    fromOthers -= allowed ? 1 : 0;
    return allowed;
  }
}
