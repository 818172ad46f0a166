package dillcross.balancer;

import dillcross.model.RequestClass;

/** Keeps a request class and what has been measured of it: demand, latency and lateness. */
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

  /** Takes new settings; what was measured stays. */
  void configure(RequestClass newRequestClass) {
    requestClass = newRequestClass;
  }

  /** Smoothed fraction of late attempts, of those whose endpoint answered others meanwhile. */
  double lateFraction() {
    return lateFraction;
  }

  /** Counts an attempt as late or in time. */
  void recordLateness(boolean late) {
    lateFraction += LATE_SAMPLE_WEIGHT * ((late ? 1 : 0) - lateFraction);
  }
}
