package dillcross.balancer;

/**
 * Decides whether another attempt is affordable: first attempts earn a budget that retries and
 * hedges spend, so that these can't amplify an overload. The unit is one attempt.
 */
final class RetryBudget {
  // Attempts earned by each first attempt; higher: more retries in an overload.
  private static final double EARNED_PER_REQUEST = 0.2;

  private static final double MAX_BALANCE = 20;

  // Starts at one attempt, because a larger balance would add up over hundreds of sidecars.
  private double balance = 1;

  boolean allows(double price) {
    return balance >= price;
  }

  void spend(double price) {
    balance -= price;
  }

  /**
   * Adds to the balance for a first attempt. The balance is bounded by a share of {@code
   * recentRequests}, the count of {@link DemandTracker#recentRequests}.
   */
  void earn(double recentRequests) {
    double limit = Math.max(1, Math.min(MAX_BALANCE, EARNED_PER_REQUEST * recentRequests));
    balance = Math.min(limit, balance + EARNED_PER_REQUEST);
  }
}
