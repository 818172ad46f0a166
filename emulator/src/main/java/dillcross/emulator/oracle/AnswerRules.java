package dillcross.emulator.oracle;

import dillcross.emulator.oracle.Violation.Rule;
import dillcross.emulator.time.TimeUnits;
import java.util.Locale;
import java.util.function.LongSupplier;

/**
 * Rules about what a client gets: exactly one answer, within the deadline, with the endpoint's
 * content and without needless delay; and no attempt is sent after the answer.
 */
final class AnswerRules {
  private static final int STATUS_OK = 200;

  private final LongSupplier nowUs;
  private final ViolationLog log;
  private final Disturbances disturbances;

  AnswerRules(LongSupplier nowUs, ViolationLog log, Disturbances disturbances) {
    this.nowUs = nowUs;
    this.log = log;
    this.disturbances = disturbances;
  }

  /** See {@link Oracle#answerReceived}. */
  void onAnswer(
      ObservedRequest request,
      int status,
      long sentUs,
      boolean isComplete,
      boolean isContentIntact) {
    int answerCount = request.countAnswer();
    if (answerCount > 1) {
      log.report(Rule.ONE_ANSWER, request, "answer " + answerCount + ", " + status);
      return;
    }
    request.recordAnswer(isComplete ? status : 0, sentUs);
    checkDeadline(request, status, sentUs);
    checkContent(request, status, isComplete, isContentIntact);
    checkNotHeldBack(request, status, sentUs);
    checkNoAttemptAfter(request, sentUs);
  }

  private void checkDeadline(ObservedRequest request, int status, long sentUs) {
    if (!request.isSent()) {
      return;
    }
    long deadlineUs = request.sentUs() + request.timeoutUs();
    if (sentUs > deadlineUs + disturbances.slackUs(request)) {
      double lateMs = (sentUs - deadlineUs) / (double) TimeUnits.MICROS_PER_MILLI;
      log.report(
          Rule.IN_TIME,
          request,
          String.format(Locale.ROOT, "%d came %.1f ms after its TTL", status, lateMs));
    }
  }

  private void checkContent(
      ObservedRequest request, int status, boolean isComplete, boolean isContentIntact) {
    if (status == STATUS_OK && !isContentIntact) {
      log.report(Rule.TRUE_CONTENT, request, "an answer that no endpoint made for it");
    }
    boolean hasRun = request.attempts().stream().anyMatch(ObservedRequest.Attempt::mayRun);
    if (status == STATUS_OK && isComplete && !hasRun) {
      log.report(Rule.TRUE_CONTENT, request, "acked, and no endpoint had it");
    }
    if (!isComplete
        && request.attempts().stream().anyMatch(ObservedRequest.Attempt::isAnswerRead)) {
      log.report(
          Rule.TRUE_CONTENT, request, "its answer was cut, and its endpoint had given all of it");
    }
  }

  private void checkNotHeldBack(ObservedRequest request, int status, long sentUs) {
    long idleUs = sentUs - request.busyUntilUs();
    if (status != STATUS_OK
        && request.isSent()
        && idleUs > request.targetUs() + disturbances.slackUs(request)
        && disturbances.areAllAttemptsObserved(request.createdUs(), sentUs)) {
      long idleMs = idleUs / TimeUnits.MICROS_PER_MILLI;
      log.report(
          Rule.NOT_HELD,
          request,
          status + " after " + idleMs + " ms in which nothing of it was out");
    }
  }

  private void checkNoAttemptAfter(ObservedRequest request, long sentUs) {
    for (ObservedRequest.Attempt attempt : request.attempts()) {
      if (attempt.sentUs() > sentUs) {
        String message = "a push to " + attempt.endpoint() + " left after the answer";
        log.report(Rule.NOTHING_AFTER, request, message);
      }
    }
  }

  /** See {@link Oracle#unexpectedBytesReceived}. */
  void onUnexpectedBytes(ObservedRequest lastRequest, int byteCount) {
    log.report(Rule.ONE_ANSWER, lastRequest, byteCount + " bytes that nobody asked for");
  }

  /** See {@link Oracle#connectionDropped}. */
  void onConnectionDropped(ObservedRequest request) {
    request.markOver();
    log.report(Rule.ONE_ANSWER, request, "its connection ended without an answer");
  }

  /** See {@link Oracle#timedOut}. */
  void onTimeout(ObservedRequest request) {
    if (!request.isOver() && !request.isExcused()) {
      request.markOver();
      long waitedMs = (nowUs.getAsLong() - request.sentUs()) / TimeUnits.MICROS_PER_MILLI;
      log.report(Rule.ONE_ANSWER, request, "no answer " + waitedMs + " ms after it was sent");
    }
  }
}
