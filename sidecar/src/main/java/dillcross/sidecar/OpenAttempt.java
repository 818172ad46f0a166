package dillcross.sidecar;

/** One attempt of an {@link OpenRequest}. Times are in microseconds. */
final class OpenAttempt {
  private final EndpointEntry target;
  private long sentUs; // when the attempt was sent, or its body was complete if later
  private long streamingSinceUs; // 0 until its response is streamed
  private boolean hasTimedOut;
  private boolean hasEnded;

  /** Creates an attempt that is in flight. */
  OpenAttempt(EndpointEntry target, long sentUs) {
    this.target = target;
    this.sentUs = sentUs;
  }

  /** The endpoint and its address when the attempt was sent. */
  EndpointEntry target() {
    return target;
  }

  /** Measures the attempt's time from now on, if it has not ended. */
  void restartTimeUnlessEnded(long nowUs) {
    if (!hasEnded) {
      sentUs = nowUs;
    }
  }

  void startStreaming(long nowUs) {
    streamingSinceUs = nowUs;
  }

  /**
   * Records why the attempt is abandoned.
   *
   * @param timedOut whether its deadline has passed; else it is not needed any more
   */
  void abandon(boolean timedOut) {
    hasTimedOut = timedOut;
  }

  /** Whether the attempt was abandoned because its deadline had passed. */
  boolean hasTimedOut() {
    return hasTimedOut;
  }

  void end() {
    hasEnded = true;
  }

  boolean hasEnded() {
    return hasEnded;
  }

  /**
   * How long the endpoint took until {@code nowUs}. For a streamed response, the time until its
   * first bytes, as how fast the rest arrives depends on the client too.
   */
  long elapsedUs(long nowUs) {
    long endUs = streamingSinceUs > 0 ? streamingSinceUs : nowUs;
    return endUs - sentUs;
  }
}
