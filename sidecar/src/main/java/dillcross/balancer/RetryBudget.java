package dillcross.balancer;

/** Pays for further attempts out of first ones: retries and hedges must not feed an overload. */
final class RetryBudget {
  private static final double EARNED_PER_REQUEST = 0.2;
  private static final double MAX_BALANCE = 20;

  /** In attempts. More at the start would add up over hundreds of sidecars. */
  private double balance = 1;

  boolean allows(double price) {
    return balance >= price;
  }

  void spend(double price) {
    balance -= price;
  }

  /** A request got its first attempt; {@code recentRequests} bounds what may be saved up. */
  void earn(double recentRequests) {
    double limit = Math.max(1, Math.min(MAX_BALANCE, EARNED_PER_REQUEST * recentRequests));
    balance = Math.min(limit, balance + EARNED_PER_REQUEST);
  }
}
