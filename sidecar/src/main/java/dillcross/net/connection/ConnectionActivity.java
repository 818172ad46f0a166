package dillcross.net.connection;

/**
 * The number of requests on a connection, and the times since when it has been idle, a message has
 * been incomplete or the peer has sent or taken nothing. Times are in microseconds, and passed in
 * by the caller. Belongs to the selector thread.
 */
public final class ConnectionActivity {
  // What a kernel holds for one peer at most, by Linux's defaults.
  private static final long MAX_KERNEL_BYTES = 4 << 20;
  // The slowest reading for which a peer's idle time is counted from its last byte.
  private static final long MIN_READ_BYTES_PER_SECOND = 64_000;
  private static final long MICROS_PER_SECOND = 1_000_000;

  private int requestCount;
  private long idleSinceUs;
  private long partialSinceUs; // 0 while no partial message is timed
  private long inputBytes; // since the connection was opened
  private long outputBytes; // since the connection was opened
  private long seenInputBytes; // at the last call of noteProgress
  private long seenOutputBytes; // at the last call of noteProgress
  private long lastInputUs;
  private long lastOutputUs;
  private long readUntilUs; // when a slow peer will have read all that the kernel may hold
  private long outputWaitsSinceUs; // 0 while no output waits

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

  /** Counts bytes that have arrived, or that were moved on to where they are relayed. */
  void countInput(int count) {
    inputBytes += count;
  }

  /** Counts bytes that the network has taken over. */
  void countOutput(int count) {
    outputBytes += count;
  }

  /**
   * Records {@code nowUs} as the time of the last input and of the last output if there was any
   * since the last call.
   *
   * @param hasOutput whether output waits until the network takes it over
   */
  void noteProgress(long nowUs, boolean hasOutput) {
    if (inputBytes != seenInputBytes) {
      seenInputBytes = inputBytes;
      lastInputUs = nowUs;
    }
    boolean isTaken = outputBytes != seenOutputBytes;
    if (isTaken) {
      extendReadTime(nowUs, outputBytes - seenOutputBytes);
      seenOutputBytes = outputBytes;
      lastOutputUs = nowUs;
    }
    if (!hasOutput) {
      outputWaitsSinceUs = 0;
    } else if (isTaken || outputWaitsSinceUs == 0) {
      outputWaitsSinceUs = nowUs;
    }
  }

  private void extendReadTime(long nowUs, long takenBytes) {
    long untilUs = Math.max(readUntilUs, nowUs) + readTimeUs(takenBytes);
    readUntilUs = Math.min(untilUs, nowUs + readTimeUs(MAX_KERNEL_BYTES));
  }

  private static long readTimeUs(long bytes) {
    return bytes * MICROS_PER_SECOND / MIN_READ_BYTES_PER_SECOND;
  }

  /**
   * When the connection last became idle, or, if that is later, when a peer that reads at 64 kB a
   * second will have read what the kernel may hold for it.
   */
  public long idleSinceReadUs() {
    return Math.max(idleSinceUs, readUntilUs);
  }

  /** When input was last noted; 0 if there was none. */
  public long lastInputUs() {
    return lastInputUs;
  }

  /** When input or output was last noted; 0 if there was none. */
  public long lastProgressUs() {
    return Math.max(lastInputUs, lastOutputUs);
  }

  /**
   * For how long output has waited of which the network has taken over nothing; 0 if none waits.
   */
  public long outputStalledUs(long nowUs) {
    return outputWaitsSinceUs == 0 ? 0 : nowUs - outputWaitsSinceUs;
  }
}
