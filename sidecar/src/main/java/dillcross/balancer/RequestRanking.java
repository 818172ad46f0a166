package dillcross.balancer;

/** Ranks requests by priority weight for their time, and by how far class and tenant are behind. */
final class RequestRanking {
  private static final double REPEAT_SHARE = 0.4; // of a first try's value, for a client's repeat

  private double usualValueRate;
  private long requests;
  private boolean weightPerWork;

  void configure(boolean newWeightPerWork) {
    weightPerWork = newWeightPerWork;
  }

  /**
   * Sets the request's rank in the queue and its relative value, by which {@link AdmissionControl}
   * gives it a part of the concurrency limit. Both are lower where the client gives up before an
   * answer can come.
   */
  void rank(Request request, double need, long timeoutUs, boolean isRepeat) {
    double meanUs = request.classState.meanLatencyUs();
    double minUs = 0.2 * request.requestClass.latencyObjectiveUs();
    double time = weightPerWork ? 1 : Math.max(meanUs, minUs);
    double patience = Math.min(1, timeoutUs / (2 * meanUs));
    double valueRate = Math.sqrt(request.requestClass.priorityWeight() / time) * patience;
    requests++;
    usualValueRate += Math.max(0.02, 1.0 / requests) * (valueRate - usualValueRate);
    double repeatShare = isRepeat ? REPEAT_SHARE : 1;
    double relativeValue = valueRate / Math.max(1e-9, usualValueRate) * repeatShare;
    request.relativeValue = relativeValue;
    request.rank = need * valueRate * repeatShare;
  }
}
