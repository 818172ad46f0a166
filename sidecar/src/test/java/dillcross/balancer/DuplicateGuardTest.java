package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.balancer.BalancerFixture.NextStep;
import dillcross.balancer.BalancerFixture.SentAttempt;
import dillcross.model.AttemptOutcome;
import dillcross.model.RetryPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DuplicateGuardTest {
  private static final String[] THREE = {"a:UP:1:east", "b:UP:1:east", "c:UP:2:west"};

  /**
   * After the outcome of a first attempt to {@code a} (cell 1, east): where the request goes next,
   * or its answer.
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
  void noEffectTwice(String requestClass, AttemptOutcome outcome, String next) {
    BalancerFixture s = BalancerFixture.withEndpoints("a:UP:1:east");
    long request = s.arrive(requestClass);
    s.updateList(true, THREE);
    s.pass(5);
    s.endAttempt(s.lastAttemptOf(request), outcome);
    switch (next) {
      case "SEND" ->
          assertTrue(s.lastAttemptOf(request).number() == 1 && !s.answers.containsKey(request));
      case "FAIL" -> assertEquals(NextStep.FAIL, s.nextStep(request));
      default -> assertEquals(next, s.lastAttemptOf(request).endpoint());
    }
  }

  /** The endpoints of a group remember a repeat for 1 s from its send. */
  @ParameterizedTest
  @CsvSource({"zone, 500, SEND", "zone, 1100, FAIL", "any, 1100, REJECT", "read, 1100, SEND"})
  void retriesStayWithinTheirDeduplicationWindow(String requestClass, long afterMs, NextStep then) {
    BalancerFixture s = new BalancerFixture(new RetryPolicy(4, false, true), false);
    s.updateList(true, "a", "b");
    long request = s.arrive(requestClass);
    s.pass(afterMs);
    s.endAttempt(s.lastAttemptOf(request), AttemptOutcome.ERROR);
    NextStep step = s.nextStep(request);
    assertEquals(then, step == NextStep.NONE ? NextStep.SEND : step);
    assertEquals(then == NextStep.SEND ? 2 : 1, s.attempts.get(request));
  }

  /**
   * What still connects when its group forgets the request, or what a cut network holds back, would
   * run a second time.
   */
  @ParameterizedTest
  @CsvSource({"zone, 700, 900", "zone, 0, 900", "any, 300, 900"})
  void aRetryEndsWithItsDeduplicationWindow(String requestClass, long firstMs, long limitMs) {
    BalancerFixture s = new BalancerFixture(new RetryPolicy(4, false, true), false);
    s.updateList(true, "a", "b", "c");
    long request = s.arrive(requestClass);
    SentAttempt first = s.lastAttemptOf(request);
    assertTrue(
        first.untilMs() == 0 || first.untilMs() > s.nowMs + 1900,
        "the first push has all of its time");
    s.pass(firstMs);
    s.endAttempt(first, AttemptOutcome.RESET);
    SentAttempt repeat = s.lastAttemptOf(request);
    assertEquals(first.atMs() + limitMs, repeat.untilMs());
    s.endAttempt(
        repeat,
        AttemptOutcome.CONNECT_FAILED); // that one never ran: the next is bound by the first alone
    assertTrue(
        s.inFlight.stream().noneMatch(p -> p.requestId() == request)
            || s.lastAttemptOf(request).untilMs() == first.atMs() + limitMs);
  }

  /** An attempt whose earlier ones provably never ran is no repeat to anyone. */
  @Test
  void anAttemptThatNeverRanNeedsNoDeduplication() {
    BalancerFixture s = new BalancerFixture(new RetryPolicy(4, false, true), false);
    s.updateList(true, "a", "b");
    long request = s.arrive("zone");
    s.endAttempt(s.lastAttemptOf(request), AttemptOutcome.CONNECT_FAILED);
    assertTrue(
        s.lastAttemptOf(request).untilMs() >= s.nowMs + 2000,
        "until " + (s.lastAttemptOf(request).untilMs() - s.nowMs));
  }

  /**
   * A repeat on its way to a group that answers nothing may come when that has forgotten the
   * request: an effect twice, 17 of 20,000 emulated days of cut and lagging zones. One endpoint
   * that hangs among others that answer is no such path.
   */
  @ParameterizedTest
  @CsvSource({"true, true", "false, false"})
  void noRepeatGoesWhereAPathOwesItsAnswers(boolean othersAnswer, boolean repeated) {
    BalancerFixture s = BalancerFixture.withEndpoints("a:UP:1:east", "b:UP:1:east", "c:UP:1:east");
    s.traffic(30, "a");
    s.arrive("once"); // is never answered
    long request = s.arrive("cell"); // its window is 1 s
    s.pass(150);
    if (othersAnswer) {
      for (int i = 0; i < 3; i++) {
        long other = s.arrive("read");
        s.pass(2);
        s.inFlight.stream()
            .filter(p -> p.requestId() == other)
            .findFirst()
            .ifPresent(p -> s.endAttempt(p, AttemptOutcome.SUCCEEDED));
      }
    }
    s.pass(40);
    s.endAttempt(
        s.inFlight.stream().filter(p -> p.requestId() == request).findFirst().orElseThrow(),
        AttemptOutcome.RESET);
    assertEquals(repeated, s.attempts.get(request) > 1);
  }
}
