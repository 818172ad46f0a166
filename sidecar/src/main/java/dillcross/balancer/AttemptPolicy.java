package dillcross.balancer;

import dillcross.model.ServiceObjective;

/**
 * Decides whether a request may get another attempt, as a retry or as a hedge, when a hedge is due,
 * and what retries and hedges cost.
 *
 * <p>Inputs are the request's retry policy, its earlier attempts and whether its body can be sent
 * again; {@link DuplicateGuard} decides where a repeat can't take effect twice and {@link
 * RetryBudget} whether it is affordable. Prices are in attempts, the unit of that budget.
 */
final class AttemptPolicy {
  private static final double RETRY_PRICE = 1;

  // Price, in attempts, of a retry after an attempt that never ran and so cost its endpoint
  // little.
  private static final double NEVER_RAN_PRICE = 0.25;

  private static final double HEDGE_PRICE = 1;

  private final DuplicateGuard duplicates;
  private final RetryBudget budget;
  private ServiceObjective objective;

  AttemptPolicy(DuplicateGuard duplicates, RetryBudget budget) {
    this.duplicates = duplicates;
    this.budget = budget;
  }

  void configure(ServiceObjective newObjective) {
    objective = newObjective;
  }

  /**
   * Whether an attempt of the request may go to the endpoint now, judging by the request alone, not
   * by the endpoint's state.
   */
  boolean permits(Request request, EndpointState endpoint, long nowUs) {
    return isUnanswered(request, nowUs)
        && request.attempts().size() < maxAttempts(request)
        && (request.attemptsInFlight() == 0 || request.retryPolicy.hedgingAllowed())
        && duplicates.isHarmless(request, endpoint, nowUs);
  }

  /** Whether the client has no answer yet, may get one, and the deadline has not passed. */
  private static boolean isUnanswered(Request request, long nowUs) {
    return !request.isOver()
        && request.streaming() == null
        && request.mayHaveAttempts()
        && request.isInTime(nowUs);
  }

  /** The most attempts that the request may have; a partly released body can't be sent again. */
  private static int maxAttempts(Request request) {
    return request.isBodyReleased() ? 1 : request.retryPolicy.maxAttempts();
  }

  /** Whether a request with nothing in flight may get its first attempt or a retry. */
  boolean allowsNext(Request request) {
    boolean isFirst = request.attempts().isEmpty();
    return request.mayHaveAttempts()
        && budget.allows(price(request))
        && (isFirst || !request.isBodyReleased());
  }

  /**
   * The price of the next attempt of a request with nothing in flight; the first attempt is free.
   */
  double price(Request request) {
    if (request.attempts().isEmpty()) {
      return 0;
    }
    Attempt last = request.attempts().get(request.attempts().size() - 1);
    return last.outcome().mayHaveRun ? RETRY_PRICE : NEVER_RAN_PRICE;
  }

  /** Deducts the price of an attempt that was sent from the retry budget. */
  void charge(double price) {
    budget.spend(price);
  }

  /** Whether a hedge may go beside the request's one attempt in flight. */
  boolean allowsHedge(Request request) {
    return !request.isOver() && request.attemptsInFlight() == 1 && budget.allows(HEDGE_PRICE);
  }

  /** Deducts the price of a hedge that was sent from the retry budget. */
  void chargeHedge() {
    budget.spend(HEDGE_PRICE);
  }

  /**
   * Adds to the retry budget for a first attempt that was sent; {@code recentRequests}, the count
   * of {@link DemandTracker#recentRequests}, bounds the budget.
   */
  void recordFirstAttempt(double recentRequests) {
    budget.earn(recentRequests);
  }

  /**
   * How long after the attempt in flight was sent a hedge is due, in microseconds: the longest
   * delay that leaves the hedge time to be answered within the latency objective, but not before
   * most answers arrive. Practically never if there is no objective for tail latency.
   */
  long hedgeAfterUs(Request request) {
    if (objective.tailWeight() == 0) {
      return Long.MAX_VALUE / 2;
    }
    LatencyEstimate latency = request.classState.latency;
    double latestUs = request.requestClass.latencyObjectiveUs() - latency.ampleUs();
    return (long) Math.max(latency.pessimisticUs(), latestUs);
  }
}
