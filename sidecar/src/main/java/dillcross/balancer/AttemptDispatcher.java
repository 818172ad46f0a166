package dillcross.balancer;

import dillcross.model.Decision;
import java.util.Queue;

/**
 * Sends every attempt, whether first, retry, hedge or probation: all of them pass {@link #send},
 * and with it every rule.
 */
final class AttemptDispatcher {
  private final SlowStart slowStart;
  private final EndpointSets endpoints;
  private final InFlightTracker inFlight;
  private final SilenceMonitor silence;
  private final DuplicateGuard duplicates;
  private final DemandTracker demand;
  private final RetryBudget budget;
  private final Queue<Decision> decisions;

  AttemptDispatcher(
      SlowStart slowStart,
      EndpointSets endpoints,
      InFlightTracker inFlight,
      SilenceMonitor silence,
      DuplicateGuard duplicates,
      DemandTracker demand,
      RetryBudget budget,
      Queue<Decision> decisions) {
    this.slowStart = slowStart;
    this.endpoints = endpoints;
    this.inFlight = inFlight;
    this.silence = silence;
    this.duplicates = duplicates;
    this.demand = demand;
    this.budget = budget;
    this.decisions = decisions;
  }

  /** Every rule that an attempt has to satisfy: whether the request may go to the endpoint now. */
  boolean permits(Request request, EndpointState endpoint, long nowUs) {
    return isOpen(request, nowUs)
        && endpoint.isListed // graceful shutdown: nothing to what is draining or removed
        && request.attempts.size() < request.maxAttempts()
        && (request.attemptsInFlight == 0 || request.retryPolicy.hedgingAllowed())
        && duplicates.isHarmless(request, endpoint, nowUs)
        && slowStart.hasBudget(endpoint, nowUs, endpoints.inUse());
  }

  /** One final answer, within the deadline. */
  private static boolean isOpen(Request request, long nowUs) {
    return !request.isOver
        && request.streaming == null
        && (request.isBodyIncomplete || nowUs < request.deadlineUs);
  }

  /** Sends the request to the endpoint if every rule permits it; whether it did. */
  boolean send(Request request, EndpointState endpoint, boolean onProbation, long nowUs) {
    if (endpoint == null || !permits(request, endpoint, nowUs)) {
      return false;
    }
    boolean isFirst = request.attempts.isEmpty();
    Attempt attempt = new Attempt(request, endpoint, nowUs);
    request.attempts.add(attempt);
    request.attemptsInFlight++;
    endpoint.lastAttemptUs = nowUs;
    endpoint.slowStart.sentInWindow++;
    if (!request.isBodyIncomplete) { // before that it is no load, and its silence tells nothing
      countAsLoad(attempt, nowUs);
    }
    if (onProbation) {
      endpoint.ejection.probation = attempt;
    }
    if (isFirst) {
      budget.earn(demand.recentRequests());
      demand.recordSent(request);
    }
    long deadlineUs = deadlineUs(attempt, isFirst, nowUs);
    decisions.add(
        new Decision.SendAttempt(
            request.id, endpoint.endpoint.id(), deadlineUs == Long.MAX_VALUE ? 0 : deadlineUs));
    return true;
  }

  /** From now on the endpoint works for the attempt. */
  void countAsLoad(Attempt attempt, long nowUs) {
    inFlight.start(attempt, nowUs);
    silence.watch(attempt, nowUs);
  }

  private long deadlineUs(Attempt attempt, boolean isFirst, long nowUs) {
    Request request = attempt.request;
    if (!isFirst && request.hasIdempotencyKey()) {
      return duplicates.memoryEndsUs(request, attempt);
    }
    boolean isEarly = request.hasEarlyDeadline && !request.isBodyIncomplete;
    long deadlineUs = isEarly ? request.deadlineUs : Long.MAX_VALUE;
    // Where no hedge may go beside it, a silent endpoint would hold the request until its deadline.
    boolean isLimited =
        !request.retryPolicy.hedgingAllowed()
            && request.attempts.size() < request.retryPolicy.maxAttempts()
            && request.isIdempotent();
    return isLimited ? Math.min(deadlineUs, nowUs + silence.overdueAfterUs(attempt)) : deadlineUs;
  }
}
