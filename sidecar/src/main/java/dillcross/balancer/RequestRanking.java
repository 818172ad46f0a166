package dillcross.balancer;

/** Ranks requests by priority weight for their time, and by how far class and tenant are behind. */
final class RequestRanking {
  private static final double REPEAT_SHARE = 0.4; // of a first try's value, for a client's repeat
  private static final double MIN_SAMPLE_WEIGHT = 0.02;
  private static final double MIN_VALUE_RATE = 1e-9; // prevents a division by zero

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
    LatencyEstimate latency = request.classState.latency;
    long objectiveUs = request.requestClass.latencyObjectiveUs();
    double work = weightPerWork ? 1 : latency.workUs(objectiveUs);
    double patience = Math.min(1, timeoutUs / latency.ampleUs());
    double valueRate = Math.sqrt(request.requestClass.priorityWeight() / work) * patience;
    requests++;
    usualValueRate += Math.max(MIN_SAMPLE_WEIGHT, 1.0 / requests) * (valueRate - usualValueRate);
    double repeatShare = isRepeat ? REPEAT_SHARE : 1;
    double relativeValue = valueRate / Math.max(MIN_VALUE_RATE, usualValueRate) * repeatShare;
    request.updateRank(need * valueRate * repeatShare, relativeValue);
  }
}
