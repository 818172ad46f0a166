package dillcross.balancer;

import dillcross.model.AttemptOutcome;
import java.util.Random;

/**
 * Decides which endpoints are ejected and readmitted (outlier detection): consecutive failures or a
 * smoothed failure fraction eject an endpoint for a jittered penalty. Then one request on probation
 * decides: success readmits it into slow start, failure doubles the penalty.
 */
final class OutlierEjection {
  private static final int CONSECUTIVE_FAILURES = 5; // fewer: ejects healthy endpoints by chance
  private static final double FAILURE_FRACTION = 0.4; // smoothed; above it an endpoint is ejected
  private static final long MAX_PENALTY_US = 60_000_000;

  // Short, because an endpoint that only paused may be healthy again.
  private static final long FIRST_PENALTY_US = 1_000_000;

  private static final double JITTER = 0.2; // largest deviation, as a fraction of a penalty

  private final Random random;
  private final SlowStart slowStart;
  private final EndpointSubset subset;

  OutlierEjection(Random random, SlowStart slowStart, EndpointSubset subset) {
    this.random = random;
    this.slowStart = slowStart;
    this.subset = subset;
  }

  /**
   * Counts a failure of the attempt only once: when no response arrived in the expected time,
   * otherwise when the attempt ends.
   */
  void recordFailure(Attempt attempt, long nowUs) {
    EjectionState state = attempt.endpoint.ejection;
    if (!attempt.isSilent()) {
      state.recordFailure();
    }
    boolean isOutlier = !attempt.isSilent() && !state.isEjected() && isOutlier(attempt);
    if (isOutlier || state.isProbation(attempt)) {
      boolean bySilence = attempt.isInFlight() && (isOutlier || state.isEjectedBySilence());
      eject(state, bySilence, nowUs);
    }
  }

  private static boolean isOutlier(Attempt attempt) {
    EjectionState state = attempt.endpoint.ejection;
    boolean isUnreachable =
        attempt.outcome() == AttemptOutcome.CONNECT_FAILED
            || attempt.outcome() == AttemptOutcome.RESET;
    return state.consecutiveFailures() >= CONSECUTIVE_FAILURES
        || state.failureFraction() > FAILURE_FRACTION
        || (isUnreachable && attempt.endpoint.removedUs() > 0);
  }

  private void eject(EjectionState state, boolean bySilence, long nowUs) {
    // Soon after the last penalty the next one is twice as long: an endpoint that fails half of its
    // attempts may pass probation.
    boolean isRepeated =
        state.penaltyUs() > 0 && nowUs < state.untilUs() + 2 * state.penaltyUs() + FIRST_PENALTY_US;
    long penaltyUs =
        isRepeated ? Math.min(MAX_PENALTY_US, 2 * state.penaltyUs()) : FIRST_PENALTY_US;
    double jitter = 1 - JITTER + 2 * JITTER * random.nextDouble();
    state.eject(penaltyUs, nowUs + (long) (penaltyUs * jitter), bySilence);
    subset.invalidate();
  }

  /**
   * Counts a success. On probation it readmits the endpoint; if a silent attempt triggered the
   * ejection, any success readmits it, because the endpoint may only have paused.
   */
  void recordSuccess(Attempt attempt, long nowUs) {
    EndpointState endpoint = attempt.endpoint;
    EjectionState state = endpoint.ejection;
    state.recordSuccess();
    boolean isOnProbation = state.isProbation(attempt);
    if (state.isEjected() && (isOnProbation || state.isEjectedBySilence())) {
      state.readmit(FAILURE_FRACTION / 2);
      subset.invalidate();
      slowStart.begin(endpoint, isOnProbation ? nowUs : endpoint.slowStart.startUs(), nowUs);
    }
  }

  /** Whether the request may be the endpoint's one attempt on probation. */
  boolean isProbationDue(EndpointState endpoint, Request request, long nowUs) {
    EjectionState state = endpoint.ejection;
    // A non-idempotent request that fails could not be retried elsewhere, so one is sent on
    // probation only after the length of another penalty.
    long extraUs = request.isIdempotent() ? 0 : state.penaltyUs();
    return state.isEjected()
        && !state.hasProbation()
        && nowUs >= endpoint.backoffUntilUs()
        && nowUs >= state.untilUs() + extraUs;
  }

  /**
   * Ends the probation if the attempt, which has ended, was on probation, so that another may be.
   */
  void endProbation(Attempt attempt) {
    EjectionState state = attempt.endpoint.ejection;
    if (state.isProbation(attempt)) {
      state.endProbation();
    }
  }
}
