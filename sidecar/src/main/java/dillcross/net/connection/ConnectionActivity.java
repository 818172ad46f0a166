package dillcross.net.connection;

/**
 * The number of requests on a connection, and the times since when it has been idle or a message
 * has been incomplete. Times are in microseconds, and passed in by the caller. Belongs to the
 * selector thread.
 */
public final class ConnectionActivity {
  private int requestCount;
  private long idleSinceUs;
  private long partialSinceUs; // 0 while no partial message is timed
  private long progressBytes; // read or written since the connection was opened
  private long seenProgressBytes; // progressBytes at the last call of noteProgress
  private long lastProgressUs;

  ConnectionActivity() {}

  /** Records that the connection is idle from now on; stops the timer of a partial message. */
  public void markIdle(long nowUs) {
    idleSinceUs = nowUs;
    partialSinceUs = 0;
  }

  /** When the connection last became idle. */
  public long idleSinceUs() {
    return idleSinceUs;
  }

  /** Counts a request that has arrived, complete or with the first bytes of a streamed body. */
  public void countRequest() {
    requestCount++;
  }

  /** The number of requests that have arrived on the connection. */
  public int requestCount() {
    return requestCount;
  }

  /**
   * Starts the timer of a partial message, unless it is running. The first request of a connection
   * is timed from the connect, a later one from now.
   */
  public void startPartialMessage(long nowUs) {
    if (partialSinceUs <= 0) {
      partialSinceUs = requestCount == 0 ? idleSinceUs : nowUs;
    }
  }

  /** Stops the timer of a partial message. */
  public void clearPartialMessage() {
    partialSinceUs = 0;
  }

  /** The start of the timer of a partial message; 0 while it is stopped. */
  public long partialSinceUs() {
    return partialSinceUs;
  }

  /** Counts bytes that were read or written. */
  void countBytes(int count) {
    progressBytes += count;
  }

  /**
   * Records {@code nowUs} as the time of the last progress if bytes were read or written on the
   * connection since the last call.
   */
  public void noteProgress(long nowUs) {
    if (progressBytes != seenProgressBytes) {
      seenProgressBytes = progressBytes;
      lastProgressUs = nowUs;
    }
  }

  /** When {@link #noteProgress} last found progress; 0 if it never did. */
  public long lastProgressUs() {
    return lastProgressUs;
  }
}
