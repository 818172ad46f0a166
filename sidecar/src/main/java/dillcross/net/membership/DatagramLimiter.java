package dillcross.net.membership;

/**
 * Limits how many datagrams are read, so that a flood does not take the thread from the requests:
 * at most some hundredths of a core. Members' own addresses have a limit of their own.
 */
final class DatagramLimiter {
  private static final double FROM_MEMBERS_PER_SECOND = 2000;
  private static final double FROM_OTHERS_PER_SECOND = 100;
  private static final double MEMBERS_BURST = FROM_MEMBERS_PER_SECOND / 10;
  private static final double OTHERS_BURST = FROM_OTHERS_PER_SECOND / 2;
  private static final double MICROS_PER_SECOND = 1e6;

  private double fromMembers = MEMBERS_BURST;
  private double fromOthers = OTHERS_BURST;
  private long refilledUs;

  void refill(long nowUs) {
    long elapsedUs = nowUs - refilledUs;
    refilledUs = nowUs;
    double members = elapsedUs * FROM_MEMBERS_PER_SECOND / MICROS_PER_SECOND;
    double others = elapsedUs * FROM_OTHERS_PER_SECOND / MICROS_PER_SECOND;
    fromMembers = Math.min(MEMBERS_BURST, fromMembers + members);
    fromOthers = Math.min(OTHERS_BURST, fromOthers + others);
  }

  /** Whether one more may be read, which is then taken off. */
  boolean tryTake(boolean isFromMember) {
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
