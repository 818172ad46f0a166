package dillcross.balancer;

import java.util.function.ObjLongConsumer;

/**
 * Watches attempts in flight: one that takes far longer than its class does counts as a failure
 * before its deadline, and a hedge may help.
 */
final class SilenceMonitor {
  private static final double MAX_LATENCY_RATIO = 4; // a slow endpoint must not hide its silence

  private final CheckQueue checks;
  private final InFlightTracker inFlight;
  private final OutlierEjection ejection;
  private final AttemptPolicy attempts;
  private final ObjLongConsumer<Request> hedge;

  /** Calls {@code hedge} with a request that would gain by a second attempt, and the time. */
  SilenceMonitor(
      CheckQueue checks,
      InFlightTracker inFlight,
      OutlierEjection ejection,
      AttemptPolicy attempts,
      ObjLongConsumer<Request> hedge) {
    this.checks = checks;
    this.inFlight = inFlight;
    this.ejection = ejection;
    this.attempts = attempts;
    this.hedge = hedge;
  }

  /** Checks an attempt that was sent now, until it ends. */
  void watch(Attempt attempt, long nowUs) {
    long firstUs = Math.min(overdueAfterUs(attempt) / 2, attempts.hedgeAfterUs(attempt.request));
    checks.schedule(nowUs + firstUs, checkUs -> check(attempt, checkUs));
  }

  /** After how long an attempt is overdue, in microseconds. */
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
    } else { // it answers others: check again, it may fall silent yet
      long hedgeUs = attempts.hedgeAfterUs(request);
      long nextUs = elapsedUs < hedgeUs ? hedgeUs - elapsedUs : overdueUs / 2;
      checks.schedule(nowUs + Math.min(overdueUs / 2, nextUs), checkUs -> check(attempt, checkUs));
      if (isOverdue && !attempt.isConnectionSuspect()) {
        inFlight.markConnectionSuspect(attempt);
      }
    }
    if (isOverdue || elapsedUs >= attempts.hedgeAfterUs(request)) {
      hedge.accept(request, nowUs);
    }
  }
}
