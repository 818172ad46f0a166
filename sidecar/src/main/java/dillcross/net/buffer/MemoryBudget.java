package dillcross.net.buffer;

/** Bytes that all buffers may take together: many large messages must not use up the memory. */
public final class MemoryBudget {
  private final long maxBytes;
  private long taken;

  /** A budget of which nothing is taken. */
  public MemoryBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Takes the bytes if there are so many; whether it did. */
  boolean tryTake(int bytes) {
    boolean fits = taken + bytes <= maxBytes;
    if (fits) {
      taken += bytes;
    }
    return fits;
  }

  void giveBack(int bytes) {
    taken -= bytes;
  }

  /** Whether less than half of it is taken. */
  public boolean isAmple() {
    return taken < maxBytes / 2;
  }

  /** Bytes that are taken. */
  public long taken() {
    return taken;
  }
}
