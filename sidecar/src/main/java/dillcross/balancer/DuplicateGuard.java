package dillcross.balancer;

import dillcross.model.DeduplicationScope;
import dillcross.model.RequestClass;

/**
 * Decides at which endpoints and until when another attempt can't make a request take effect twice.
 *
 * <p>An idempotent request may run anywhere again. One with an idempotency key may run again where
 * endpoints recognise the key: within its deduplication scope, and until its deduplication window
 * ends. A non-idempotent request may not run again once an attempt may have run.
 */
final class DuplicateGuard {
  // Fraction of the deduplication window within which a repeat has to arrive and end.
  private static final double WINDOW_FRACTION = 0.9;

  // Assumed delay of a repeat, as a multiple of the time for which its zone has not answered.
  private static final double PATH_DELAY_FACTOR = 4;

  private final EndpointDirectory directory;

  DuplicateGuard(EndpointDirectory directory) {
    this.directory = directory;
  }

  /** Whether an attempt at the endpoint, sent now, can't make the request take effect twice. */
  boolean isHarmless(Request request, EndpointState endpoint, long nowUs) {
    if (request.isIdempotent()) {
      return true;
    }
    for (Attempt earlier : request.attempts()) {
      if (earlier.mayHaveRun() && !isRecognised(request, earlier, endpoint, nowUs)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Whether the endpoint would recognise the idempotency key of the earlier attempt when a repeat,
   * sent now, arrives.
   */
  private boolean isRecognised(
      Request request, Attempt earlier, EndpointState endpoint, long nowUs) {
    RequestClass requestClass = request.requestClass;
    if (!request.hasIdempotencyKey() || !isInScope(requestClass.scope(), earlier, endpoint)) {
      return false;
    }
    // The repeat may be delayed on a slow path and arrive after the window has ended.
    long unansweredUs = directory.unansweredUs(endpoint.zone(), nowUs);
    return nowUs - earlier.sentUs() + PATH_DELAY_FACTOR * unansweredUs
        < WINDOW_FRACTION * requestClass.deduplicationWindowUs();
  }

  private static boolean isInScope(
      DeduplicationScope scope, Attempt earlier, EndpointState endpoint) {
    return switch (scope) {
      case ALL -> true;
      case ZONE -> earlier.zone().equals(endpoint.zone());
      case CELL -> earlier.cell() == endpoint.cell();
    };
  }

  /**
   * The deadline of {@code repeat}, in microseconds: 0.9 of the deduplication window after the
   * first earlier attempt that may have run, or after the request's deadline if none may have run.
   */
  long repeatDeadlineUs(Request request, Attempt repeat) {
    long firstSentUs = Long.MAX_VALUE;
    for (Attempt earlier : request.attempts()) {
      if (earlier != repeat && earlier.mayHaveRun()) {
        firstSentUs = Math.min(firstSentUs, earlier.sentUs());
      }
    }
    long fromUs = firstSentUs == Long.MAX_VALUE ? request.deadlineUs() : firstSentUs;
    return (long) (WINDOW_FRACTION * request.requestClass.deduplicationWindowUs()) + fromUs;
  }

  /** Whether the client may safely retry after the sidecar has given the request up. */
  boolean isRetryByClientSafe(Request request) {
    return !request.mayHaveRun()
        || request.isIdempotent()
        || (request.hasIdempotencyKey() && request.requestClass.scope() == DeduplicationScope.ALL);
  }
}
