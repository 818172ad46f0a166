package dillcross.balancer;

/**
 * Decides until when one attempt may run, if it has to end before its request's deadline.
 *
 * <p>Inputs are the attempt's request and earlier attempts, and times in microseconds.
 */
final class AttemptDeadline {
  /** No deadline of its own: the attempt may run until its request's deadline. */
  static final long NONE = Long.MAX_VALUE;

  private final DuplicateGuard duplicates;
  private final SilenceMonitor silence;

  AttemptDeadline(DuplicateGuard duplicates, SilenceMonitor silence) {
    this.duplicates = duplicates;
    this.silence = silence;
  }

  /**
   * When the attempt, sent now, has to end, in microseconds; {@link #NONE} if only its request's
   * deadline applies.
   */
  long deadlineUs(Attempt attempt, boolean isFirst, long nowUs) {
    Request request = attempt.request;
    if (!isFirst && request.hasIdempotencyKey()) {
      return duplicates.repeatDeadlineUs(request, attempt);
    }
    boolean isEarly = request.hasEarlyDeadline && !request.isBodyIncomplete();
    long deadlineUs = isEarly ? request.deadlineUs() : NONE;
    return mustEndWhenOverdue(request)
        ? Math.min(deadlineUs, nowUs + silence.overdueAfterUs(attempt))
        : deadlineUs;
  }

  /**
   * Whether an attempt of the request has to end once it is overdue, so that a retry can replace
   * it: if hedging is not allowed, an endpoint that does not respond would otherwise hold the
   * request until its deadline.
   */
  private static boolean mustEndWhenOverdue(Request request) {
    return !request.retryPolicy.hedgingAllowed()
        && request.attempts().size() < request.retryPolicy.maxAttempts()
        && request.isIdempotent();
  }
}
