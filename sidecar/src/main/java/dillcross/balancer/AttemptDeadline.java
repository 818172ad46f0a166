package dillcross.balancer;

/**
 * Decides until when one attempt may run, where it has to end before its request's deadline.
 *
 * <p>Inputs are the attempt's request and earlier attempts, and times in microseconds.
 */
final class AttemptDeadline {
  /** The attempt may run until its request's deadline. */
  static final long NONE = Long.MAX_VALUE;

  private final DuplicateGuard duplicates;
  private final SilenceMonitor silence;

  AttemptDeadline(DuplicateGuard duplicates, SilenceMonitor silence) {
    this.duplicates = duplicates;
    this.silence = silence;
  }

  /** When the attempt, sent now, has to end; {@link #NONE} for no limit of its own. */
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
   * Where no hedge may go beside it, a silent endpoint would hold the request until its deadline.
   */
  private static boolean mustEndWhenOverdue(Request request) {
    return !request.retryPolicy.hedgingAllowed()
        && request.attempts().size() < request.retryPolicy.maxAttempts()
        && request.isIdempotent();
  }
}
