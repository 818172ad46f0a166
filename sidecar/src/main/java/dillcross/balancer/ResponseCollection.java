package dillcross.balancer;

/**
 * Decides for how long a response of unknown length is collected before it is forwarded although
 * its end has not arrived. While it is collected another attempt can still take its place; once it
 * is forwarded the request is bound to it. A response that is longer than the sidecar collects may
 * go on after the deadline, but has to begin before it.
 */
public final class ResponseCollection {
  private static final long MAX_COLLECTION_US = 100_000; // most responses end within milliseconds
  private static final long DEADLINE_MARGIN_US = 25_000; // for the way to the client

  private ResponseCollection() {}

  /**
   * Until when a response is collected whose first bytes have arrived now.
   *
   * @param deadlineUs when its attempt would be abandoned
   */
  public static long untilUs(long nowUs, long deadlineUs) {
    return Math.min(nowUs + MAX_COLLECTION_US, deadlineUs - DEADLINE_MARGIN_US);
  }
}
