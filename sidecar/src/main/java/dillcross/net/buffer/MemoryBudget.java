package dillcross.net.buffer;

/**
 * Owns all bytes that are held for peers, and limits them, so that many large messages can't use up
 * the heap: ring buffers beyond their initial size, collected bodies, and requests that wait for
 * their response.
 */
public final class MemoryBudget {
  private final long maxBytes;
  private long taken;

  /** Creates a budget of {@code maxBytes}, none of which are taken. */
  public MemoryBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Takes {@code bytes} from the budget; returns false, and takes none, if fewer are left. */
  boolean tryTake(int bytes) {
    boolean fits = taken + bytes <= maxBytes;
    if (fits) {
      taken += bytes;
    }
    return fits;
  }

  /** Takes {@code bytes} from the budget, even if fewer are left. */
  void take(int bytes) {
    taken += bytes;
  }

  void giveBack(int bytes) {
    taken -= bytes;
  }

  /** Whether less than half of the budget is taken. */
  public boolean isAmple() {
    return taken < maxBytes / 2;
  }

  /** The number of bytes that were taken and not given back. */
  public long taken() {
    return taken;
  }
}
