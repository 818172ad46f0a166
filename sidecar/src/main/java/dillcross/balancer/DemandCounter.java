package dillcross.balancer;

/** Recent requests of one tenant or request class, and how many of them were sent. Both fade. */
final class DemandCounter {
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
    return Math.max(0.2, entitled(total)) / Math.max(0.2, sent);
  }

  void fade(double remaining) {
    arrived *= remaining;
    sent *= remaining;
  }
}
