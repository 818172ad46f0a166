package dillcross.net;

/**
 * Bytes that all rings together may take: many large messages at once must not use up the memory.
 */
final class Budget {
  private final long most;
  private long taken;

  Budget(long most) {
    this.most = most;
  }

  boolean take(int bytes) {
    boolean fits = taken + bytes <= most;
    taken += fits ? bytes : 0;
    return fits;
  }

  /** Less than half of it is taken. */
  boolean ample() {
    return taken < most / 2;
  }

  long taken() {
    return taken;
  }

  void giveBack(int bytes) {
    taken -= bytes;
  }
}
