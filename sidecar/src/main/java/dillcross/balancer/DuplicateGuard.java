package dillcross.balancer;

import dillcross.model.DeduplicationScope;
import dillcross.model.RequestClass;

/**
 * No request runs twice: where a further attempt of one that may have run is harmless, and when.
 */
final class DuplicateGuard {
  private static final double WINDOW_SHARE = 0.9; // of the time that a scope remembers a key
  private static final double PATH_DELAY_FACTOR = 4; // times what a zone owes: a repeat may take it

  private final EndpointDirectory directory;

  DuplicateGuard(EndpointDirectory directory) {
    this.directory = directory;
  }

  /** Whether an attempt at that endpoint, now, has no effect a second time. */
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

  /** Whether the endpoint would recognise the key of the earlier attempt when this one arrives. */
  private boolean isRecognised(
      Request request, Attempt earlier, EndpointState endpoint, long nowUs) {
    RequestClass requestClass = request.requestClass;
    if (!request.hasIdempotencyKey()
        || !isInScope(requestClass.scope(), earlier.endpoint, endpoint)) {
      return false;
    }
    // One endpoint that hangs among others that answer is no sign of a slow path.
    long owedUs = directory.unansweredUs(endpoint.zone(), nowUs);
    return nowUs - earlier.sentUs() + PATH_DELAY_FACTOR * owedUs
        < WINDOW_SHARE * requestClass.deduplicationWindowUs();
  }

  private static boolean isInScope(
      DeduplicationScope scope, EndpointState earlier, EndpointState endpoint) {
    return switch (scope) {
      case ALL -> true;
      case ZONE -> earlier.zone().equals(endpoint.zone());
      case CELL -> earlier.cell() == endpoint.cell();
    };
  }

  /**
   * When the scope forgets the key of the attempts before {@code repeat}, which has to end then.
   */
  long memoryEndsUs(Request request, Attempt repeat) {
    long firstSentUs = Long.MAX_VALUE;
    for (Attempt earlier : request.attempts()) {
      if (earlier != repeat && earlier.mayHaveRun()) {
        firstSentUs = Math.min(firstSentUs, earlier.sentUs());
      }
    }
    long fromUs = firstSentUs == Long.MAX_VALUE ? request.deadlineUs() : firstSentUs;
    return (long) (WINDOW_SHARE * request.requestClass.deduplicationWindowUs()) + fromUs;
  }

  /** Whether a client may safely try again after the sidecar gave the request up. */
  boolean isRetryByClientSafe(Request request) {
    return !request.mayHaveRun()
        || request.isIdempotent()
        || (request.hasIdempotencyKey() && request.requestClass.scope() == DeduplicationScope.ALL);
  }
}
