package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.balancer.DecisionRecorder.NextStep;
import dillcross.balancer.DecisionRecorder.SentAttempt;
import dillcross.model.AttemptOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Covers which retries are not sent because a request could run twice; see {@link DuplicateGuard}.
 */
class DuplicateGuardTest {
  private static final String[] TWO_ZONES = {"a:UP:1:east", "b:UP:1:east", "c:UP:2:west"};

  private static BalancerFixture withoutHedging(String... endpoints) {
    return BalancerFixture.withSettings(
        new SettingsBuilder().retries(SettingsBuilder.WITHOUT_HEDGING), endpoints);
  }

  /**
   * Request class, outcome of the first attempt, which went to "a" in cell 1 of zone "east", and
   * what has to follow: a retry at any endpoint (SEND), a retry at the named endpoint, or a failure
   * (FAIL).
   */
  @ParameterizedTest
  @CsvSource({
    "read, ERROR, SEND",
    "read, CONNECT_FAILED, SEND",
    "cell, ERROR, b",
    "zone, RESET, b",
    "any, ERROR, SEND",
    "cell, CONNECT_FAILED, SEND",
    "once, CONNECT_FAILED, SEND",
    "once, OVERLOADED, SEND",
    "once, ERROR, FAIL",
    "once, RESET, FAIL",
    "once, TIMED_OUT, FAIL"
  })
  void retriesOnlyWhereRequestCannotRunTwice(
      String requestClass, AttemptOutcome outcome, String expected) {
    BalancerFixture fixture = BalancerFixture.withEndpoints("a:UP:1:east");
    long request = fixture.startRequest(requestClass);
    fixture.updateEndpoints(true, TWO_ZONES);
    fixture.advance(5);

    fixture.endAttempt(fixture.lastAttemptOf(request), outcome);

    switch (expected) {
      case "SEND" ->
          assertTrue(
              fixture.lastAttemptOf(request).number() == 1
                  && !fixture.answers.containsKey(request));
      case "FAIL" -> assertEquals(NextStep.FAIL, fixture.nextStep(request));
      default -> assertEquals(expected, fixture.lastAttemptOf(request).endpoint());
    }
  }

  /** Guards against: a process of the same id elsewhere is taken for the one that was tried. */
  @ParameterizedTest
  @ValueSource(strings = {"cell", "zone"})
  void retriesWithinTheScopeOfTheProcessThatWasTried(String requestClass) {
    BalancerFixture fixture = BalancerFixture.withEndpoints("a:UP:1:east");
    long request = fixture.startRequest(requestClass);
    fixture.updateEndpoints(true, "a:UP:2:west:5", "b:UP:1:east", "c:UP:2:west");
    fixture.advance(5);

    fixture.endAttempt(fixture.lastAttemptOf(request), AttemptOutcome.RESET);

    assertEquals("b", fixture.lastAttemptOf(request).endpoint());
  }

  /**
   * Endpoints remember an idempotency key for 1 s from the first attempt, so no retry may come
   * later.
   */
  @ParameterizedTest
  @CsvSource({"zone, 500, SEND", "zone, 1100, FAIL", "any, 1100, REJECT", "read, 1100, SEND"})
  void doesNotRetryAfterDeduplicationWindow(
      String requestClass, long firstAttemptMs, NextStep expected) {
    BalancerFixture fixture = withoutHedging("a", "b");
    long request = fixture.startRequest(requestClass);
    fixture.advance(firstAttemptMs);

    fixture.endAttempt(fixture.lastAttemptOf(request), AttemptOutcome.ERROR);

    assertEquals(expected, fixture.nextStepOrSend(request));
    assertEquals(expected == NextStep.SEND ? 2 : 1, fixture.attemptCount(request));
  }

  /**
   * A retry that reaches an endpoint after the deduplication window would run the request a second
   * time.
   */
  @ParameterizedTest
  @CsvSource({"zone, 700, 900", "zone, 0, 900", "any, 300, 900"})
  void retryTimesOutBeforeDeduplicationWindowEnds(
      String requestClass, long firstAttemptMs, long retryLimitMs) {
    BalancerFixture fixture = withoutHedging("a", "b", "c");
    long request = fixture.startRequest(requestClass);
    SentAttempt first = fixture.lastAttemptOf(request);
    assertTrue(
        first.deadlineMs() == 0 || first.deadlineMs() > fixture.nowMs + 1900,
        "the first attempt has all of the request's time");

    fixture.advance(firstAttemptMs);
    fixture.endAttempt(first, AttemptOutcome.RESET);
    SentAttempt retry = fixture.lastAttemptOf(request);
    assertEquals(first.sentMs() + retryLimitMs, retry.deadlineMs());

    // Only the first attempt may have run, so the deadline of a further retry still counts from
    // that attempt.
    fixture.endAttempt(retry, AttemptOutcome.CONNECT_FAILED);
    assertTrue(
        fixture.inFlight.stream().noneMatch(attempt -> attempt.requestId() == request)
            || fixture.lastAttemptOf(request).deadlineMs() == first.sentMs() + retryLimitMs);
  }

  @Test
  void retryHasFullTimeWhereFirstAttemptNeverRan() {
    BalancerFixture fixture = withoutHedging("a", "b");
    long request = fixture.startRequest("zone");

    fixture.endAttempt(fixture.lastAttemptOf(request), AttemptOutcome.CONNECT_FAILED);

    long deadlineMs = fixture.lastAttemptOf(request).deadlineMs();
    assertTrue(
        deadlineMs >= fixture.nowMs + 2000, "time for the retry: " + (deadlineMs - fixture.nowMs));
  }

  /**
   * Where no endpoint of a deduplication scope responds, the network may delay a retry until the
   * scope has forgotten the key. One endpoint that hangs while others respond does not prevent a
   * retry.
   */
  @ParameterizedTest
  @CsvSource({"true, true", "false, false"})
  void doesNotRetryInScopeThatDoesNotRespond(boolean othersRespond, boolean retried) {
    BalancerFixture fixture =
        BalancerFixture.withEndpoints("a:UP:1:east", "b:UP:1:east", "c:UP:1:east");
    fixture.sendSequentially(30, "a");
    fixture.startRequest("once"); // this request gets no response
    long request = fixture.startRequest("cell");
    fixture.advance(150);
    if (othersRespond) {
      for (int i = 0; i < 3; i++) {
        long other = fixture.startRequest("read");
        fixture.advance(2);
        fixture.succeed(other);
      }
    }
    fixture.advance(40);

    SentAttempt first =
        fixture.inFlight.stream()
            .filter(attempt -> attempt.requestId() == request)
            .findFirst()
            .orElseThrow();
    fixture.endAttempt(first, AttemptOutcome.RESET);

    assertEquals(retried, fixture.attemptCount(request) > 1);
  }
}
