package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.balancer.BalancerFixture.SentAttempt;
import dillcross.model.AttemptOutcome;
import dillcross.model.RetryPolicy;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SilenceMonitorTest {
  /**
   * An endpoint that takes requests and answers none is out long before their deadline, and its
   * requests get a hedged attempt.
   */
  @Test
  void silenceIsEvidence() {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b", "c");
    s.traffic(60, "a");
    int hedges = 0;
    for (int i = 0; i < 80; i++) {
      s.arrive("read");
      s.pass(25);
      for (SentAttempt p : List.copyOf(s.inFlight)) {
        if (!p.endpoint().equals("a")) {
          hedges += p.number();
          s.endAttempt(p, AttemptOutcome.SUCCEEDED);
        }
      }
    }
    assertTrue(hedges > 0);
    assertTrue(
        s.sent.stream().filter(p -> p.endpoint().equals("a") && p.atMs() > s.nowMs - 1000).count()
            <= 2);
  }

  /**
   * Attempts to an endpoint that fell silent right after an answer must not hold the bound until
   * their deadline.
   */
  @Test
  void silenceAfterAnAnswerCountsToo() {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b");
    s.traffic(60, "a");
    for (int i = 0; i < 5; i++) {
      s.arrive("once");
    }
    s.pass(20);
    s.endAttempt(s.inFlight.get(0), AttemptOutcome.SUCCEEDED);
    s.pass(1500);
    s.updateList(true, "c");
    assertEquals(20, s.traffic(20, "c"));
  }

  /**
   * An attempt times out before the deadline only where no copy may go beside it and another
   * attempt may follow.
   */
  @ParameterizedTest
  @CsvSource({
    "read, 4, false, true",
    "read, 4, true, false",
    "read, 1, false, false",
    "once, 4, false, false",
    "zone, 4, false, false"
  })
  void attemptsTimeOutWhereNoHedgeMayGo(
      String requestClass, int maxAttempts, boolean hedges, boolean limited) {
    BalancerFixture s = new BalancerFixture(new RetryPolicy(maxAttempts, hedges, true), false);
    s.updateList(true, "a", "b");
    assertEquals(limited, s.lastAttemptOf(s.arrive(requestClass)).untilMs() > s.nowMs);
  }

  /** Second copies go by what was allowed when the request came in. */
  @ParameterizedTest
  @CsvSource({"true, true, 2", "true, false, 2", "false, true, 1"})
  void hedgesFollowTheRetryPolicyOfTheirRequest(boolean old, boolean now, int attempts) {
    BalancerFixture s = new BalancerFixture(new RetryPolicy(4, old, true), false);
    s.updateList(true, "a", "b", "c");
    s.traffic(60, "a");
    long request = s.arrive("read");
    s.applySettings(new RetryPolicy(4, now, true), false, BalancerFixture.REQUEST_CLASSES);
    s.pass(300);
    assertEquals(attempts, s.attempts.get(request));
  }
}
