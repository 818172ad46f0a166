package dillcross.balancer;

import dillcross.model.AttemptOutcome;

/** Updates the measurements of endpoints, request classes and traffic when attempts end. */
final class OutcomeRecorder {
  private static final long STALE_LATENCY_US = 5_000_000;
  private static final double BASELINE_RISE_IDLE = 0.05; // without load the mean is the baseline
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

  /** Records that the attempt has ended, {@code tookUs} after it was sent. */
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

  /**
   * Counts the attempt as late or in time for its latency objective. A late attempt counts only if
   * its endpoint answered another attempt meanwhile.
   */
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

  /**
   * Records that the endpoint has answered the attempt successfully, or has begun to, {@code
   * tookUs} after it was sent.
   */
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
    // A failure raises the latency ratio at once, not smoothed: with little traffic there would be
    // no more samples.
    boolean isUninformative = attempt.isConnectionSuspect() || attempt.request.isBodyIncomplete();
    double ratio = isUninformative ? 0 : latency.boundedRatioToMean(tookUs);
    endpoint.raiseLatencyRatio(ratio);
    // If the client gives up before an answer can be expected, the endpoint has not failed.
    boolean isProbation = endpoint.ejection.isProbation(attempt);
    if (!isTimeout || latency.isTimeoutFailure(tookUs) || isProbation) {
      ejection.recordFailure(attempt, nowUs);
    }
    if (isTimeout && !endpoint.ejection.isEjected() && !attempt.isConnectionSuspect()) {
      // Otherwise attempts without an answer would not count towards the slowdown.
      slowdown.record(attempt, tookUs, nowUs);
    }
  }
}
