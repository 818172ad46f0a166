package dillcross.balancer;

/**
 * Decides which waiting request goes first, and a request's value relative to other requests.
 *
 * <pre>
 * valueRate = sqrt(priorityWeight / work) x timeoutFactor
 * rank = need x valueRate
 * relativeValue = valueRate / usual valueRate
 * </pre>
 *
 * Work is the class's expected latency in microseconds, or 1 if weights are per unit of work;
 * timeoutFactor is below 1 if the client gives up before an answer is likely, and need is above 1
 * if class or tenant got less than their quota. For a repeat by the client, both rank and
 * relativeValue are lower.
 */
final class RequestRanking {
  private static final double REPEAT_FRACTION = 0.4; // of the value of a first request
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
   * gives it a part of the concurrency limit.
   */
  void rank(Request request, double need, long timeoutUs, boolean isRepeat) {
    LatencyEstimate latency = request.classState.latency;
    long objectiveUs = request.requestClass.latencyObjectiveUs();
    double work = weightPerWork ? 1 : latency.workUs(objectiveUs);
    double timeoutFactor = Math.min(1, timeoutUs / latency.ampleUs());
    double valueRate = Math.sqrt(request.requestClass.priorityWeight() / work) * timeoutFactor;
    requests++;
    usualValueRate += Math.max(MIN_SAMPLE_WEIGHT, 1.0 / requests) * (valueRate - usualValueRate);
    double repeatFraction = isRepeat ? REPEAT_FRACTION : 1;
    double relativeValue = valueRate / Math.max(MIN_VALUE_RATE, usualValueRate) * repeatFraction;
    request.updateRank(need * valueRate * repeatFraction, relativeValue);
  }
}
