package dillcross.balancer;

import dillcross.model.RequestClass;

/** Keeps a request class and its measurements: demand, latency and lateness. */
final class ClassState {
  private static final double LATE_SAMPLE_WEIGHT = 0.2;

  final DemandCounter demand = new DemandCounter(1);
  final LatencyEstimate latency;
  private RequestClass requestClass;
  private double lateFraction;

  ClassState(RequestClass requestClass) {
    this.requestClass = requestClass;
    latency = new LatencyEstimate(requestClass.latencyObjectiveUs());
  }

  /** The class as the newest settings describe it. */
  RequestClass requestClass() {
    return requestClass;
  }

  /** Replaces the settings of the class and keeps its measurements. */
  void configure(RequestClass newRequestClass) {
    requestClass = newRequestClass;
  }

  /**
   * Smoothed fraction of attempts that missed the latency objective, 0 to 1; see {@link
   * OutcomeRecorder} for which attempts count.
   */
  double lateFraction() {
    return lateFraction;
  }

  /** Counts an attempt as late or in time for the latency objective. */
  void recordLateness(boolean late) {
    lateFraction += LATE_SAMPLE_WEIGHT * ((late ? 1 : 0) - lateFraction);
  }
}
