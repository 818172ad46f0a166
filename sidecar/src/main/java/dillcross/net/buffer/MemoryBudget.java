package dillcross.net.buffer;

/**
 * Owns all bytes that are held for peers, and limits them, so that many large messages can't use up
 * the heap: ring buffers beyond their initial size, collected bodies, and requests that wait for
 * their response. {@link MemoryUse} says who is refused first.
 *
 * <p>What is guaranteed is counted too, and may exceed the limit. It is bounded by the number of
 * connections, and no request is accepted while the budget {@link #isExhausted}.
 */
public final class MemoryBudget {
  private static final double AMPLE_SHARE = 1 / 2.0;

  private final long maxBytes;
  private long taken;

  /** Creates a budget of {@code maxBytes}, none of which are taken. */
  public MemoryBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Takes the bytes by which one buffer grows; returns false, and takes none, if the budget does
   * not allow this use.
   *
   * @param fromBytes the present size of the buffer
   * @param toBytes the size that it grows to
   */
  boolean tryGrow(MemoryUse use, int fromBytes, int toBytes) {
    int bytes = toBytes - fromBytes;
    boolean fits = taken + bytes <= maxBytes * use.shareFor(toBytes);
    if (fits || use.isGuaranteed(toBytes)) {
      taken += bytes;
      return true;
    }
    return false;
  }

  /** Takes {@code bytes} that were admitted before, even if fewer are left. */
  void take(int bytes) {
    taken += bytes;
  }

  void giveBack(int bytes) {
    taken -= bytes;
  }

  /** Whether less than half of the budget is taken. */
  public boolean isAmple() {
    return taken < maxBytes * AMPLE_SHARE;
  }

  /** Whether so much is taken that bodies have to be streamed in small steps. */
  public boolean isScarce() {
    return taken >= maxBytes * MemoryUse.SCARCE_SHARE;
  }

  /** Whether all of the budget is taken, so that no further request may be accepted. */
  public boolean isExhausted() {
    return taken >= maxBytes;
  }

  /** The number of bytes that were taken and not given back. */
  public long taken() {
    return taken;
  }

  /** The limit in bytes. */
  public long maxBytes() {
    return maxBytes;
  }
}
