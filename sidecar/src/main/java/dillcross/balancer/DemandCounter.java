package dillcross.balancer;

/**
 * Counts recent requests of one tenant or request class, and how many of them were sent. Both
 * counts decay when {@link #decay} is called.
 */
final class DemandCounter {
  // Lower bound of both counts in their ratio, which keeps the ratio of small counts moderate.
  private static final double MIN_REQUESTS = 0.2;

  private double quotaFraction;
  private double arrived;
  private double sent;

  /**
   * Creates a counter for a tenant or class whose quota is the fraction {@code quotaFraction}, 0 to
   * 1, of all requests.
   */
  DemandCounter(double quotaFraction) {
    this.quotaFraction = quotaFraction;
  }

  void updateQuota(double newQuotaFraction) {
    quotaFraction = newQuotaFraction;
  }

  void recordArrival() {
    arrived++;
  }

  void recordSent() {
    sent++;
  }

  /**
   * How many of the recent requests are within the quota of {@code quotaFraction} times {@code
   * total} requests.
   */
  double entitled(double total) {
    return Math.min(arrived, quotaFraction * total);
  }

  /**
   * Ratio of the requests within the quota, {@code quotaFraction} times {@code total}, to the
   * requests sent: above 1 if the tenant or class got less than its quota.
   */
  double need(double total) {
    return Math.max(MIN_REQUESTS, entitled(total)) / Math.max(MIN_REQUESTS, sent);
  }

  /** Multiplies both counts by {@code remaining}, 0 to 1. */
  void decay(double remaining) {
    arrived *= remaining;
    sent *= remaining;
  }
}
