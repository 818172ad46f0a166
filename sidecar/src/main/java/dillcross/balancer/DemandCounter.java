package dillcross.balancer;

/** Counts recent requests of one tenant or request class, and how many were sent; both decay. */
final class DemandCounter {
  private static final double MIN_REQUESTS = 0.2; // keeps the ratio of small counts moderate

  private double quotaFraction;
  private double arrived;
  private double sent;

  /** A counter for what has a quota of {@code quotaFraction} of all requests, 0 to 1. */
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

  /** Recent requests that are within the quota, of {@code total} by all. */
  double entitled(double total) {
    return Math.min(arrived, quotaFraction * total);
  }

  /** Requests within the quota over requests sent: above 1 where it got less than its quota. */
  double need(double total) {
    return Math.max(MIN_REQUESTS, entitled(total)) / Math.max(MIN_REQUESTS, sent);
  }

  /** Keeps that part of both counts, 0 to 1. */
  void decay(double remaining) {
    arrived *= remaining;
    sent *= remaining;
  }
}
