package dillcross.balancer;

import java.util.function.ObjLongConsumer;

/**
 * Decides when an attempt in flight is overdue or due for a hedge.
 *
 * <p>An overdue attempt at an endpoint that has answered nothing meanwhile counts as a failure
 * before its deadline, so that an endpoint that accepts requests and answers none is ejected early.
 * If the endpoint answered others, only the attempt's connection is suspect.
 */
final class SilenceMonitor {
  private static final double MAX_LATENCY_RATIO = 4; // bounds the wait at a slow endpoint

  private final CheckQueue checks;
  private final InFlightTracker inFlight;
  private final OutlierEjection ejection;
  private final AttemptPolicy attemptPolicy;
  private final ObjLongConsumer<Request> hedge;

  /**
   * Creates a monitor that calls {@code hedge} with a request for which a hedge is due and the
   * current time.
   */
  SilenceMonitor(
      CheckQueue checks,
      InFlightTracker inFlight,
      OutlierEjection ejection,
      AttemptPolicy attemptPolicy,
      ObjLongConsumer<Request> hedge) {
    this.checks = checks;
    this.inFlight = inFlight;
    this.ejection = ejection;
    this.attemptPolicy = attemptPolicy;
    this.hedge = hedge;
  }

  /**
   * Schedules checks of an attempt that was sent now, until the attempt ends or is marked as
   * silent.
   */
  void watch(Attempt attempt, long nowUs) {
    long firstUs =
        Math.min(overdueAfterUs(attempt) / 2, attemptPolicy.hedgeAfterUs(attempt.request));
    checks.schedule(nowUs + firstUs, checkUs -> check(attempt, checkUs));
  }

  /** How long after it was sent an attempt is overdue, in microseconds. */
  long overdueAfterUs(Attempt attempt) {
    double latencyRatio = attempt.endpoint.boundedLatencyRatio(MAX_LATENCY_RATIO);
    return attempt.request.classState.latency.overdueAfterUs(latencyRatio);
  }

  private void check(Attempt attempt, long nowUs) {
    Request request = attempt.request;
    if (!attempt.isInFlight() || attempt.isSilent() || request.streaming() != null) {
      return;
    }
    long overdueUs = overdueAfterUs(attempt);
    long elapsedUs = nowUs - attempt.sentUs();
    boolean isOverdue = elapsedUs >= overdueUs;
    long silentSinceUs = Math.max(attempt.sentUs(), nowUs - overdueUs);
    if (isOverdue && attempt.endpoint.lastSuccessUs() <= silentSinceUs) {
      ejection.recordFailure(attempt, nowUs);
      inFlight.markSilent(attempt);
    } else { // the endpoint answers others, but may fall silent later
      long hedgeUs = attemptPolicy.hedgeAfterUs(request);
      long nextUs = elapsedUs < hedgeUs ? hedgeUs - elapsedUs : overdueUs / 2;
      checks.schedule(nowUs + Math.min(overdueUs / 2, nextUs), checkUs -> check(attempt, checkUs));
      if (isOverdue && !attempt.isConnectionSuspect()) {
        inFlight.markConnectionSuspect(attempt);
      }
    }
    if (isOverdue || elapsedUs >= attemptPolicy.hedgeAfterUs(request)) {
      hedge.accept(request, nowUs);
    }
  }
}
