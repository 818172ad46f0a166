package dillcross.emulator.oracle;

import dillcross.emulator.oracle.Violation.Rule;
import dillcross.emulator.time.TimeUnits;

/**
 * Rules about when a sidecar may still send an attempt: not above the maximum number, not after the
 * answer or the deadline, and not long after the client has left.
 */
final class AttemptRules {
  /** Time in µs after a client's close within which a sidecar may still start an attempt. */
  private static final long CLIENT_DISCONNECT_TOLERANCE_US = 100_000;

  private final ViolationLog log;
  private final Disturbances disturbances;
  private final int maxAttempts;

  AttemptRules(ViolationLog log, Disturbances disturbances, int maxAttempts) {
    this.log = log;
    this.disturbances = disturbances;
    this.maxAttempts = maxAttempts;
  }

  /** Checks {@code attempt}, the newest attempt of the request, by the rules of this class. */
  void onAttempt(ObservedRequest request, ObservedRequest.Attempt attempt) {
    int count = request.attempts().size();
    if (count > maxAttempts) {
      log.report(Rule.PUSH_LIMIT, request, "push " + count + " to " + attempt.endpoint());
    }
    checkNotAfterAnswer(request, attempt);
    checkNotAfterDeadline(request, attempt);
    checkNotAfterClientDisconnect(request, attempt);
  }

  private void checkNotAfterAnswer(ObservedRequest request, ObservedRequest.Attempt attempt) {
    long lateUs = attempt.sentUs() - request.answerUs();
    if (request.answerUs() > 0 && lateUs > 0) {
      report(request, attempt, lateUs + " us after the answer");
    }
  }

  private void checkNotAfterDeadline(ObservedRequest request, ObservedRequest.Attempt attempt) {
    if (request.isSent()
        && attempt.sentUs()
            > request.sentUs() + request.timeoutUs() + disturbances.slackUs(request)) {
      report(request, attempt, "after its TTL");
    }
  }

  private void checkNotAfterClientDisconnect(
      ObservedRequest request, ObservedRequest.Attempt attempt) {
    long lateUs = attempt.sentUs() - request.clientDisconnectedUs();
    if (request.clientDisconnectedUs() > 0
        && lateUs > CLIENT_DISCONNECT_TOLERANCE_US + disturbances.slackUs(request)) {
      long lateMs = lateUs / TimeUnits.MICROS_PER_MILLI;
      report(request, attempt, lateMs + " ms after its client had gone");
    }
  }

  private void report(ObservedRequest request, ObservedRequest.Attempt attempt, String when) {
    log.report(Rule.NOTHING_AFTER, request, "a push to " + attempt.endpoint() + " left " + when);
  }
}
