package dillcross.balancer;

import dillcross.model.Decision;
import java.util.Queue;

/**
 * Sends every attempt, whether first, retry, hedge or probation: all of them pass {@link #send},
 * and with it every rule.
 */
final class AttemptDispatcher {
  private final SlowStart slowStart;
  private final AttemptPolicy attempts;
  private final AttemptDeadline deadlines;
  private final InFlightTracker inFlight;
  private final SilenceMonitor silence;
  private final DemandTracker demand;
  private final Queue<Decision> decisions;

  AttemptDispatcher(
      SlowStart slowStart,
      AttemptPolicy attempts,
      AttemptDeadline deadlines,
      InFlightTracker inFlight,
      SilenceMonitor silence,
      DemandTracker demand,
      Queue<Decision> decisions) {
    this.slowStart = slowStart;
    this.attempts = attempts;
    this.deadlines = deadlines;
    this.inFlight = inFlight;
    this.silence = silence;
    this.demand = demand;
    this.decisions = decisions;
  }

  /** Every rule that an attempt has to satisfy: whether the request may go to the endpoint now. */
  boolean permits(Request request, EndpointState endpoint, long nowUs) {
    return endpoint.isListed() // graceful shutdown: nothing to what is draining or removed
        && attempts.permits(request, endpoint, nowUs)
        && slowStart.hasBudget(endpoint, nowUs);
  }

  /** Sends the request to the endpoint if every rule permits it; whether it did. */
  boolean send(Request request, EndpointState endpoint, boolean onProbation, long nowUs) {
    if (endpoint == null || !permits(request, endpoint, nowUs)) {
      return false;
    }
    boolean isFirst = request.attempts().isEmpty();
    Attempt attempt = new Attempt(request, endpoint, nowUs);
    request.addAttempt(attempt);
    endpoint.recordSent(nowUs);
    if (!request.isBodyIncomplete()) { // before that it is no load, and its silence tells nothing
      countAsLoad(attempt, nowUs);
    }
    if (onProbation) {
      endpoint.ejection.startProbation(attempt);
    }
    if (isFirst) {
      attempts.recordFirstAttempt(demand.recentRequests());
      demand.recordSent(request);
    }
    long deadlineUs = deadlines.deadlineUs(attempt, isFirst, nowUs);
    decisions.add(
        new Decision.SendAttempt(
            request.id, endpoint.id(), deadlineUs == Long.MAX_VALUE ? 0 : deadlineUs));
    return true;
  }

  /** From now on the endpoint works for the attempt. */
  void countAsLoad(Attempt attempt, long nowUs) {
    inFlight.start(attempt, nowUs);
    silence.watch(attempt, nowUs);
  }
}
