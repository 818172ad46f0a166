package dillcross.net.connection;

/**
 * How much a connection has been used, and since when it has been idle or in the middle of a
 * message. Times are in microseconds; the caller brings the clock. Belongs to the selector thread.
 */
public final class ConnectionActivity {
  private int requestCount;
  private long idleSinceUs;
  private long partialSinceUs; // 0 while no partial message is timed
  private long progressBytes;
  private long seenProgressBytes;
  private long lastProgressUs;

  ConnectionActivity() {}

  /**
   * Notes that the connection carries nothing from now on; resets the time of a partial message.
   */
  public void markIdle(long nowUs) {
    idleSinceUs = nowUs;
    partialSinceUs = 0;
  }

  /** Since when the connection has carried nothing. */
  public long idleSinceUs() {
    return idleSinceUs;
  }

  /** Notes that a complete request, or the head of a streamed one, has arrived. */
  public void countRequest() {
    requestCount++;
  }

  /** How many requests the connection has brought. */
  public int requestCount() {
    return requestCount;
  }

  /**
   * Starts the time of a partial message, unless it runs already. The first request counts from
   * connecting, a later one from when it is first seen.
   */
  public void startPartialMessage(long nowUs) {
    if (partialSinceUs <= 0) {
      partialSinceUs = requestCount == 0 ? idleSinceUs : nowUs;
    }
  }

  /** Stops the time of a partial message. */
  public void clearPartialMessage() {
    partialSinceUs = 0;
  }

  /** Since when a partial message has been timed; 0 while none is. */
  public long partialSinceUs() {
    return partialSinceUs;
  }

  /** Counts bytes that were read or written. */
  void countBytes(int count) {
    progressBytes += count;
  }

  /** Notes whether bytes were read or written since the last call. */
  public void noteProgress(long nowUs) {
    if (progressBytes != seenProgressBytes) {
      seenProgressBytes = progressBytes;
      lastProgressUs = nowUs;
    }
  }

  /** When {@link #noteProgress} last found progress; 0 before. */
  public long lastProgressUs() {
    return lastProgressUs;
  }
}
