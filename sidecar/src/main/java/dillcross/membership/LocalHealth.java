package dillcross.membership;

/**
 * Lifeguard's local health multiplier: evidence that this process is slow or that its own network
 * loses packets; 0 means healthy. It stretches probe intervals, probe timeouts and suspicion
 * timeouts, so that an unhealthy member suspects others later.
 */
final class LocalHealth {
  private static final int MAX_MULTIPLIER = 8;

  private int multiplier;

  /** The local health multiplier: 0 while this process is healthy, at most 8. */
  int multiplier() {
    return multiplier;
  }

  /** The factor that stretches probe intervals and timeouts: 1 while this process is healthy. */
  int timeoutFactor() {
    return 1 + multiplier;
  }

  void worsen(int by) {
    multiplier = Math.min(MAX_MULTIPLIER, multiplier + by);
  }

  void improve() {
    multiplier = Math.max(0, multiplier - 1);
  }
}
