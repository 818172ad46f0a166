package dillcross.balancer;

import dillcross.model.Decision;
import java.util.Queue;
import java.util.Random;

/**
 * Decides how a request that gets no further attempt is answered: rejected with a Retry-After if
 * its client may safely retry, otherwise failed.
 *
 * <p>Retry-After is a short random part of the latency objective, so that clients do not return
 * together. Retry-After is the configured maximum if the objective would be missed anyway and a
 * late answer has no value, because an early retry would only add load.
 */
final class FinalAnswer {
  private static final double MIN_RETRY_AFTER_FRACTION = 0.1; // of the latency objective
  private static final double RETRY_AFTER_SPREAD_FRACTION = 0.2; // of the latency objective

  private final Random random;
  private final DuplicateGuard duplicates;
  private final RequestTable requests;
  private final Queue<Decision> decisions;
  private long maxRetryAfterUs;

  FinalAnswer(
      Random random, DuplicateGuard duplicates, RequestTable requests, Queue<Decision> decisions) {
    this.random = random;
    this.duplicates = duplicates;
    this.requests = requests;
    this.decisions = decisions;
  }

  void configure(long newMaxRetryAfterUs) {
    maxRetryAfterUs = newMaxRetryAfterUs;
  }

  /** Gives the client its final answer and ends the request. */
  void giveUp(Request request, long nowUs) {
    long retryAfterUs = retryAfterUs(request, nowUs);
    boolean isSafe = duplicates.isRetryByClientSafe(request);
    decisions.add(
        isSafe ? new Decision.Reject(request.id, retryAfterUs) : new Decision.Fail(request.id));
    requests.settle(request, true);
  }

  private long retryAfterUs(Request request, long nowUs) {
    long objectiveUs = request.requestClass.latencyObjectiveUs();
    double expectedUs = nowUs + request.classState.latency.pessimisticUs();
    boolean isTooLate = request.arrivalUs + objectiveUs < expectedUs;
    if (isTooLate && request.requestClass.lateValueShare() == 0) {
      return maxRetryAfterUs;
    }
    double fraction = MIN_RETRY_AFTER_FRACTION + RETRY_AFTER_SPREAD_FRACTION * random.nextDouble();
    long soonUs = (long) (objectiveUs * fraction);
    return Math.min(maxRetryAfterUs, soonUs);
  }
}
