package dillcross.balancer;

/** Recent requests of one tenant or request class, and how many of them were sent. Both fade. */
final class DemandCounter {
  private static final double MIN_REQUESTS = 0.2; // keeps the ratio of small counts moderate

  /** Of all requests, the part within its quota: 0 to 1. */
  double quotaShare;

  private double arrived;
  private double sent;

  DemandCounter(double quotaShare) {
    this.quotaShare = quotaShare;
  }

  void recordArrival() {
    arrived++;
  }

  void recordSent() {
    sent++;
  }

  /** Recent requests that are within the quota, of {@code total} by all. */
  double entitled(double total) {
    return Math.min(arrived, quotaShare * total);
  }

  /** Above 1 where fewer requests were sent than its quota of what arrived. */
  double need(double total) {
    return Math.max(MIN_REQUESTS, entitled(total)) / Math.max(MIN_REQUESTS, sent);
  }

  void fade(double remaining) {
    arrived *= remaining;
    sent *= remaining;
  }
}
