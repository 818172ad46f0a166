package dillcross.balancer;

import dillcross.model.RequestClass;

/** A request class and what has been measured of it. */
final class ClassState {
  private static final int MIN_SAMPLES = 10;
  private static final double LATE_SAMPLE_WEIGHT = 0.2;

  /** As the newest settings describe it. */
  RequestClass requestClass;

  final DemandCounter demand = new DemandCounter(1);
  private double meanLatencyUs;
  private double baselineLatencyUs;
  private int successes;
  private double lateShare;

  ClassState(RequestClass requestClass) {
    this.requestClass = requestClass;
    meanLatencyUs = requestClass.latencyObjectiveUs() / 4.0; // until the first answer
  }

  /** Smoothed latency of its answers, in microseconds. */
  double meanLatencyUs() {
    return meanLatencyUs;
  }

  /** The lowest that the mean was, slowly rising: what a request takes without a queue. */
  double baselineLatencyUs() {
    return baselineLatencyUs;
  }

  /** Successful answers so far. */
  int successes() {
    return successes;
  }

  /** Smoothed share of late attempts, at endpoints that answered others meanwhile. */
  double lateShare() {
    return lateShare;
  }

  /**
   * Takes a new latency in; the baseline rises towards a higher mean by {@code rise} of the way.
   */
  void recordLatency(double latencyUs, double rise) {
    successes++;
    meanLatencyUs += (latencyUs - meanLatencyUs) * Math.max(0.02, 1.0 / successes);
    boolean isLowest = successes < MIN_SAMPLES || meanLatencyUs < baselineLatencyUs;
    baselineLatencyUs =
        isLowest ? meanLatencyUs : baselineLatencyUs + rise * (meanLatencyUs - baselineLatencyUs);
  }

  void recordLateness(boolean late) {
    lateShare += LATE_SAMPLE_WEIGHT * ((late ? 1 : 0) - lateShare);
  }
}
