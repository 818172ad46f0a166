package dillcross.balancer;

import dillcross.model.AttemptOutcome;

/** Measures endpoints and request classes by how attempts end. */
final class OutcomeRecorder {
  private static final long STALE_LATENCY_US = 5_000_000;
  private static final double BASELINE_RISE_IDLE = 0.05; // less load would not make it faster
  private static final double BASELINE_RISE = 0.0001;

  private final OutlierEjection ejection;
  private final AdmissionControl admission;
  private final SlowdownEstimator slowdown;
  private final TrafficMeter traffic;
  private final EndpointPicker picker;

  OutcomeRecorder(
      OutlierEjection ejection,
      AdmissionControl admission,
      SlowdownEstimator slowdown,
      TrafficMeter traffic,
      EndpointPicker picker) {
    this.ejection = ejection;
    this.admission = admission;
    this.slowdown = slowdown;
    this.traffic = traffic;
    this.picker = picker;
  }

  /** The attempt has ended after {@code tookUs}. */
  void recordOutcome(Attempt attempt, long tookUs, long nowUs) {
    EndpointState endpoint = attempt.endpoint;
    endpoint.recordOutcome(nowUs, STALE_LATENCY_US);
    recordLateness(attempt, tookUs);
    boolean succeeded = attempt.outcome() == AttemptOutcome.SUCCEEDED;
    if (succeeded && attempt.request.streaming() != attempt) {
      recordSuccess(attempt, tookUs, nowUs);
    } else if (attempt.outcome().isFailure) {
      recordFailure(attempt, tookUs, nowUs);
    } else if (attempt.outcome() == AttemptOutcome.OVERLOADED) {
      picker.recordOverload(endpoint, attempt.request.classState.latency.meanUs(), nowUs);
    }
    ejection.endProbation(attempt);
  }

  /** Notes whether it was late though its endpoint answered others meanwhile. */
  private static void recordLateness(Attempt attempt, long tookUs) {
    ClassState classState = attempt.request.classState;
    boolean isLate = tookUs > classState.requestClass().latencyObjectiveUs();
    boolean counts =
        isLate
            ? attempt.endpoint.lastSuccessUs() > attempt.sentUs()
            : attempt.outcome() == AttemptOutcome.SUCCEEDED;
    if (counts) {
      classState.recordLateness(isLate);
    }
  }

  /** The endpoint has answered successfully after {@code tookUs}, or has begun to. */
  void recordSuccess(Attempt attempt, long tookUs, long nowUs) {
    EndpointState endpoint = attempt.endpoint;
    ClassState classState = attempt.request.classState;
    endpoint.recordSuccess(attempt.sentUs(), nowUs);
    boolean isIdle = admission.isNearlyIdle();
    LatencyEstimate latency = classState.latency;
    latency.record((double) tookUs, isIdle ? BASELINE_RISE_IDLE : BASELINE_RISE);
    endpoint.recordLatencyRatio(latency.boundedRatioToMean(tookUs));
    slowdown.record(attempt, tookUs, nowUs);
    traffic.recordSuccess(latency.baselineUs(), nowUs);
    ejection.recordSuccess(attempt, nowUs);
  }

  private void recordFailure(Attempt attempt, long tookUs, long nowUs) {
    EndpointState endpoint = attempt.endpoint;
    boolean isTimeout = attempt.outcome() == AttemptOutcome.TIMED_OUT;
    LatencyEstimate latency = attempt.request.classState.latency;
    // One time-out says as much as many slow answers; with little traffic there are no more.
    boolean saysNothing = attempt.isConnectionSuspect() || attempt.request.isBodyIncomplete();
    double ratio = saysNothing ? 0 : latency.boundedRatioToMean(tookUs);
    endpoint.raiseLatencyRatio(ratio);
    // A client that gives up before an answer could be expected says nothing of the endpoint.
    boolean isProbation = endpoint.ejection.isProbation(attempt);
    if (!isTimeout || latency.isTimeoutFailure(tookUs) || isProbation) {
      ejection.recordFailure(attempt, nowUs);
    }
    if (isTimeout && !endpoint.ejection.isEjected() && !attempt.isConnectionSuspect()) {
      slowdown.record(attempt, tookUs, nowUs); // a jam answers nothing, and must tell
    }
  }
}
