package dillcross.sidecar;

/** One attempt of an {@link OpenRequest}. Times are in microseconds. */
final class OpenAttempt {
  private final EndpointEntry target;
  private long sentUs;
  private long streamingSinceUs; // 0 until its response is streamed
  private boolean hasTimedOut;
  private boolean hasEnded;

  /** An attempt in flight. */
  OpenAttempt(EndpointEntry target, long sentUs) {
    this.target = target;
    this.sentUs = sentUs;
  }

  /** The endpoint and its address when the attempt was sent. */
  EndpointEntry target() {
    return target;
  }

  void restartTimeUnlessEnded(long nowUs) {
    if (!hasEnded) {
      sentUs = nowUs;
    }
  }

  void startStreaming(long nowUs) {
    streamingSinceUs = nowUs;
  }

  /** Notes why the attempt is abandoned: its deadline has passed, or it is not needed any more. */
  void abandon(boolean timedOut) {
    hasTimedOut = timedOut;
  }

  /** Whether it was abandoned because its deadline had passed. */
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
   * The endpoint's time, up to the first bytes of a streamed response: how fast the rest arrives
   * depends on the client as well.
   */
  long elapsedUs(long nowUs) {
    long endUs = streamingSinceUs > 0 ? streamingSinceUs : nowUs;
    return endUs - sentUs;
  }
}
