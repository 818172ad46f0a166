package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.balancer.BalancerFixture.SentAttempt;
import dillcross.model.AttemptOutcome;
import dillcross.model.RetryPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OutlierEjectionTest {
  /**
   * E error, T time-out, R reset, X connection failed, F full, A success, on the only endpoint;
   * then another joins.
   */
  @ParameterizedTest
  @CsvSource({
    "EEEEE, true",
    "TTTTT, true",
    "RRRRR, true",
    "XXXXX, true",
    "EEEE, false",
    "FFFFFFFF, false",
    "ttttttt, false",
    "EEAAEEAA, false",
    "EEFFFEEE, true",
    "EEEAEEEAEEEA, true"
  })
  void ejectsAfterFiveInARowOrTooLargeAShare(String outcomes, boolean ejected) {
    BalancerFixture s = BalancerFixture.withEndpoints("a");
    for (int i = 0; i < outcomes.length(); i++) {
      fail(s, outcomes.charAt(i));
    }
    s.updateList(false, "b");
    assertEquals(ejected, s.traffic(30, "a") == 0);
  }

  private static void fail(BalancerFixture s, char outcome) {
    long request = s.arrive("once");
    s.pass(
        outcome == 'T'
            ? 350
            : 10); // a time-out before an answer could be expected says nothing: 't'
    s.endAttempt(
        s.lastAttemptOf(request),
        switch (outcome) {
          case 'E' -> AttemptOutcome.ERROR;
          case 'T', 't' -> AttemptOutcome.TIMED_OUT;
          case 'R' -> AttemptOutcome.RESET;
          case 'X' -> AttemptOutcome.CONNECT_FAILED;
          case 'F' -> AttemptOutcome.OVERLOADED;
          default -> AttemptOutcome.SUCCEEDED;
        });
    s.pass(outcome == 'F' ? 12_000 : 10);
  }

  private static BalancerFixture ejected() {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b");
    for (int failures = 0; failures < 5; ) {
      SentAttempt p = s.lastAttemptOf(s.arrive("read"));
      s.pass(5);
      s.endAttempt(p, p.endpoint().equals("a") ? AttemptOutcome.ERROR : AttemptOutcome.SUCCEEDED);
      failures += p.endpoint().equals("a") ? 1 : 0;
      s.pass(5);
      s.endAttempts(q -> true, AttemptOutcome.SUCCEEDED);
    }
    return s;
  }

  @ParameterizedTest
  @CsvSource({"SUCCEEDED, true", "ERROR, false", "TIMED_OUT, false"})
  void aPenaltyEndsInOneRequestOnProbation(AttemptOutcome outcome, boolean back) {
    BalancerFixture s = ejected();
    assertEquals(0, s.traffic(30, "a")); // 0.6 s: within the shortest penalty
    s.pass(700);
    SentAttempt probe = s.lastAttemptOf(s.arrive("read"));
    assertEquals("a", probe.endpoint());
    assertEquals(0, s.traffic(2, "a"), "one at a time");
    s.endAttempt(probe, outcome);
    s.endAttempts(p -> true, AttemptOutcome.SUCCEEDED);
    assertEquals(back, s.pairTraffic(60, "a") > 0); // 1.2 s
    s.pass(1300);
    assertTrue(s.pairTraffic(60, "a") > 0, "the second penalty is twice the first, not more");
  }

  /** A probation request whose attempt never ends must not keep the endpoint out for good. */
  @Test
  void aProbationThatNeverEndsIsReplaced() {
    BalancerFixture s = ejected();
    s.pass(1300);
    assertEquals("a", s.lastAttemptOf(s.arrive("read")).endpoint());
    s.pass(10_000);
    assertEquals("a", s.lastAttemptOf(s.arrive("read")).endpoint());
  }

  @Test
  void withAllEjectedItPicksAsIfNoneWere() {
    BalancerFixture s = BalancerFixture.withEndpoints("a");
    for (int i = 0; i < 6; i++) {
      fail(s, 'E');
    }
    assertEquals("a", s.lastAttemptOf(s.arrive("once")).endpoint());
  }

  /** An answer after a pause ends an ejection that nothing but silence caused. */
  @Test
  void aPauseCostsLittle() {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b");
    s.traffic(40, "a");
    for (int i = 0; i < 24; i++) {
      s.arrive("read");
      s.pass(5);
      s.endAttempts(p -> p.endpoint().equals("b"), AttemptOutcome.SUCCEEDED);
    }
    s.pass(200);
    s.endAttempts(p -> true, AttemptOutcome.SUCCEEDED);
    s.pass(10_000); // as long as a latency counts
    assertTrue(s.pairTraffic(100, "a") > 10);
  }

  /**
   * What was learned stays: an ejected endpoint is out after a switch too, and after the way back.
   */
  @Test
  void ejectionsSurviveNewSettings() {
    BalancerFixture s = ejected();
    s.applySettings(new RetryPolicy(3, false, true), true, BalancerFixture.REQUEST_CLASSES);
    assertEquals(0, s.traffic(15, "a"));
    s.applySettings(BalancerFixture.RETRIES, false, BalancerFixture.REQUEST_CLASSES);
    assertEquals(0, s.traffic(10, "a"));
  }
}
