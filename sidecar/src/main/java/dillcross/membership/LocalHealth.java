package dillcross.membership;

/**
 * Lifeguard's local health: how well this process hears. 0 is well; each more makes its own
 * verdicts slower by as much again.
 */
final class LocalHealth {
  private static final int MAX = 8;

  private int multiplier;

  /** 0 is well. */
  int multiplier() {
    return multiplier;
  }

  void worsen(int by) {
    multiplier = Math.min(MAX, multiplier + by);
  }

  void improve() {
    multiplier = Math.max(0, multiplier - 1);
  }
}
