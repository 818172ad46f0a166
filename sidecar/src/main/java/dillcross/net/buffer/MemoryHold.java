package dillcross.net.buffer;

/**
 * The bytes of one message that are held outside of ring buffers, such as its parsed head and its
 * body. Counts them against the memory budget; the bytes themselves belong to the caller.
 */
public final class MemoryHold {
  private final MemoryBudget budget;
  private int held;
  private boolean isClosed;

  /** Creates a hold of no bytes. */
  public MemoryHold(MemoryBudget budget) {
    this.budget = budget;
  }

  /**
   * Takes {@code bytes} from the budget for a request's head; returns false, and takes none, if it
   * refuses.
   */
  public boolean tryAddHead(int bytes) {
    boolean isTaken = !isClosed && budget.tryGrow(MemoryUse.REQUEST_HEAD, held, held + bytes);
    if (isTaken) {
      held += bytes;
    }
    return isTaken;
  }

  /**
   * Counts {@code bytes} more without a limit: bytes that the budget has admitted already, and that
   * move here from a ring buffer.
   */
  public void add(int bytes) {
    if (!isClosed) {
      budget.take(bytes);
      held += bytes;
    }
  }

  /** Returns all bytes to the budget. */
  public void release() {
    budget.giveBack(held);
    held = 0;
  }

  /** Returns all bytes to the budget, and takes no more: nothing would return them. */
  public void close() {
    release();
    isClosed = true;
  }
}
