package dillcross.balancer;

import dillcross.model.Decision;
import java.util.Queue;

/**
 * Decides whether an attempt may go to an endpoint, and sends it. Every attempt, whether first,
 * retry, hedge or on probation, goes through {@link #send}, which applies every rule.
 */
final class AttemptDispatcher {
  private final SlowStart slowStart;
  private final AttemptPolicy attemptPolicy;
  private final AttemptDeadline deadlines;
  private final InFlightTracker inFlight;
  private final SilenceMonitor silence;
  private final DemandTracker demand;
  private final Queue<Decision> decisions;

  AttemptDispatcher(
      SlowStart slowStart,
      AttemptPolicy attemptPolicy,
      AttemptDeadline deadlines,
      InFlightTracker inFlight,
      SilenceMonitor silence,
      DemandTracker demand,
      Queue<Decision> decisions) {
    this.slowStart = slowStart;
    this.attemptPolicy = attemptPolicy;
    this.deadlines = deadlines;
    this.inFlight = inFlight;
    this.silence = silence;
    this.demand = demand;
    this.decisions = decisions;
  }

  /**
   * Whether every rule permits the request to go to the endpoint now. May draw a random number for
   * slow start.
   */
  boolean permits(Request request, EndpointState endpoint, long nowUs) {
    return endpoint.isListed() // neither draining nor removed, unless RemovalGrace retains it
        && attemptPolicy.permits(request, endpoint, nowUs)
        && slowStart.hasBudget(endpoint, nowUs);
  }

  /**
   * Sends the request to the endpoint if every rule permits it. Returns whether it was sent.
   *
   * @param endpoint the endpoint that was chosen; null if none was found, so that nothing is sent
   * @param onProbation whether the attempt is the single one that tests whether the ejected
   *     endpoint has recovered
   */
  boolean send(Request request, EndpointState endpoint, boolean onProbation, long nowUs) {
    if (endpoint == null || !permits(request, endpoint, nowUs)) {
      return false;
    }
    boolean isFirst = request.attempts().isEmpty();
    Attempt attempt = new Attempt(request, endpoint, nowUs);
    request.addAttempt(attempt);
    endpoint.recordSent(nowUs);
    if (!request.isBodyIncomplete()) { // an endpoint can't answer before the body is complete
      countAsLoad(attempt, nowUs);
    }
    if (onProbation) {
      endpoint.ejection.startProbation(attempt);
    }
    if (isFirst) {
      attemptPolicy.recordFirstAttempt(demand.recentRequests());
      demand.recordSent(request);
    }
    long deadlineUs = deadlines.deadlineUs(attempt, isFirst, nowUs);
    decisions.add(
        new Decision.SendAttempt(
            request.id, endpoint.id(), deadlineUs == AttemptDeadline.NONE ? 0 : deadlineUs));
    return true;
  }

  /**
   * Counts the attempt as load and watches for a missing response from {@code nowUs} on, the time
   * at which the endpoint has the complete request.
   */
  void countAsLoad(Attempt attempt, long nowUs) {
    inFlight.start(attempt, nowUs);
    silence.watch(attempt, nowUs);
  }
}
