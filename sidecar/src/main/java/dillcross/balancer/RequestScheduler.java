package dillcross.balancer;

import dillcross.model.Decision;
import java.util.Queue;
import java.util.Random;

/** Decides what becomes of each request: an attempt, a wait for capacity, or its final answer. */
final class RequestScheduler {
  private static final double QUEUE_SHARE = 0.3; // of the latency objective, at the least
  private static final double NEVER_RAN_PRICE = 0.25; // of a retry, in attempts

  private final Random random;
  private final RequestTable requests;
  private final EndpointSets endpoints;
  private final InFlightTracker inFlight;
  private final CheckQueue checks;
  private final Queue<Decision> decisions;
  private final OutlierEjection ejection;
  private final AdmissionControl admission;
  private final RetryBudget budget;
  private final DuplicateGuard duplicates;
  private final EndpointPicker picker;
  private final AttemptDispatcher dispatcher;
  private long maxRetryAfterUs;

  RequestScheduler(
      Random random,
      RequestTable requests,
      EndpointSets endpoints,
      InFlightTracker inFlight,
      CheckQueue checks,
      Queue<Decision> decisions,
      OutlierEjection ejection,
      AdmissionControl admission,
      RetryBudget budget,
      DuplicateGuard duplicates,
      EndpointPicker picker,
      AttemptDispatcher dispatcher) {
    this.random = random;
    this.requests = requests;
    this.endpoints = endpoints;
    this.inFlight = inFlight;
    this.checks = checks;
    this.decisions = decisions;
    this.ejection = ejection;
    this.admission = admission;
    this.budget = budget;
    this.duplicates = duplicates;
    this.picker = picker;
    this.dispatcher = dispatcher;
  }

  void configure(long newMaxRetryAfterUs) {
    maxRetryAfterUs = newMaxRetryAfterUs;
  }

  /** Cancels attempts in flight whose request has its answer, or needs none. */
  void cancelUnneeded() {
    Request request = requests.nextToCancel();
    while (request != null) {
      for (int number = 0; number < request.attempts.size(); number++) {
        Attempt attempt = request.attempts.get(number);
        boolean isUnneeded = attempt.isInFlight() && attempt != request.streaming;
        if (isUnneeded && request.retryPolicy.cancellable()) {
          decisions.add(new Decision.CancelAttempt(request.id, number));
        }
      }
      request = requests.nextToCancel();
    }
  }

  /** Sends, queues or answers every request that has nothing in flight. */
  void placeAll(long nowUs) {
    Request request = requests.nextToPlace();
    while (request != null) {
      place(request, nowUs);
      request = requests.nextToPlace();
    }
  }

  private void place(Request request, long nowUs) {
    boolean isFirst = request.attempts.isEmpty();
    if (isFirst && sendOnProbation(request, nowUs)) {
      return;
    }
    double price = isFirst ? 0 : retryPrice(request);
    boolean mustQueue = isFirst && !requests.waiting.isEmpty();
    if (!budget.allows(price) || (request.isBodyReleased && !isFirst)) {
      giveUp(request, nowUs);
    } else if (!mustQueue && admission.admits(request, nowUs) && sendToPicked(request, nowUs)) {
      budget.spend(price);
    } else {
      queueOrGiveUp(request, isFirst, nowUs);
    }
  }

  private boolean sendToPicked(Request request, long nowUs) {
    return dispatcher.send(request, picker.pick(request, nowUs), false, nowUs);
  }

  /** What never ran cost its endpoint little. */
  private static double retryPrice(Request request) {
    Attempt last = request.attempts.get(request.attempts.size() - 1);
    return last.outcome.mayHaveRun ? 1 : NEVER_RAN_PRICE;
  }

  private boolean sendOnProbation(Request request, long nowUs) {
    for (EndpointState endpoint : endpoints.ejected) {
      boolean isDue = ejection.isProbationDue(endpoint, request, nowUs);
      if (isDue && dispatcher.send(request, endpoint, true, nowUs)) {
        return true;
      }
    }
    return false;
  }

  /** It may wait for capacity while it can still be in time. */
  private void queueOrGiveUp(Request request, boolean isFirst, long nowUs) {
    long objectiveUs = request.requestClass.latencyObjectiveUs();
    double spareUs = objectiveUs - 1.5 * request.classState.meanLatencyUs();
    long untilUs = request.arrivalUs + (long) Math.max(QUEUE_SHARE * objectiveUs, 0.8 * spareUs);
    boolean mayQueue = isFirst || (!admission.admits(request, nowUs) && !request.mayHaveRun());
    boolean isInTime = untilUs > nowUs && untilUs < request.deadlineUs;
    if (mayQueue && isInTime && !endpoints.available.isEmpty()) {
      requests.waiting.add(request);
      inFlight.signalCapacity();
      checks.schedule(untilUs, checkUs -> expireWaiting(request, checkUs));
    } else {
      giveUp(request, nowUs);
    }
  }

  private void expireWaiting(Request request, long nowUs) {
    if (!request.isOver && requests.waiting.remove(request)) {
      giveUp(request, nowUs);
    }
  }

  /** Sends what waits, by rank, as far as capacity goes. */
  void placeWaiting(long nowUs) {
    while (!requests.waiting.isEmpty() && admission.admits(requests.waiting.first(), nowUs)) {
      Request request = requests.waiting.first();
      if (sendToPicked(request, nowUs)) {
        requests.waiting.remove(request);
      } else if (request.attempts.isEmpty()) {
        return;
      } else {
        giveUp(request, nowUs); // it has tried what there is, and must not block the others
      }
    }
  }

  /** More wait than can be answered in their time: the lowest ranks are told at once. */
  void shedWaiting(double successesPerUs, long meanObjectiveUs, long nowUs) {
    while (requests.waiting.size() > 1 + successesPerUs * QUEUE_SHARE * meanObjectiveUs) {
      giveUp(requests.waiting.last(), nowUs);
    }
  }

  /** Sends a second attempt beside a slow one, if the retry budget and the limit allow it. */
  void hedge(Request request, long nowUs) {
    boolean isWanted = !request.isOver && request.attemptsInFlight == 1 && budget.allows(1);
    if (isWanted && admission.admits(request, nowUs) && sendToPicked(request, nowUs)) {
      budget.spend(1);
    }
  }

  /** Final answer for a request that gets no further attempt. */
  private void giveUp(Request request, long nowUs) {
    long objectiveUs = request.requestClass.latencyObjectiveUs();
    double expectedUs = nowUs + 1.5 * request.classState.meanLatencyUs();
    boolean earnsNothing =
        request.requestClass.lateValueShare() == 0 && request.arrivalUs + objectiveUs < expectedUs;
    long retryAfterUs = maxRetryAfterUs; // where a retry earns nothing, one at once is wasted work
    if (!earnsNothing) {
      long soonUs = (long) (objectiveUs * (0.1 + 0.2 * random.nextDouble()));
      retryAfterUs = Math.min(maxRetryAfterUs, soonUs);
    }
    boolean isSafe = duplicates.isRetryByClientSafe(request);
    decisions.add(
        isSafe ? new Decision.Reject(request.id, retryAfterUs) : new Decision.Fail(request.id));
    requests.settle(request, true);
  }
}
