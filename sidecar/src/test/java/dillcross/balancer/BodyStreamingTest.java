package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.balancer.BalancerFixture.SentAttempt;
import dillcross.model.AttemptOutcome;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class BodyStreamingTest {
  /** What flows, either way, takes no place of other requests and is no silence of its endpoint. */
  @ParameterizedTest
  @ValueSource(strings = {"coming", "begun"})
  void streamingTakesNoCapacity(String how) {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b");
    s.traffic(60, "a");
    int flowing = 40;
    for (int i = 0; i < flowing; i++) {
      long request = how.equals("coming") ? s.arriveWithoutBody("read") : s.arrive("read");
      s.clientDeadlines.put(request, Long.MAX_VALUE);
      if (how.equals("begun")) {
        s.pass(20);
        s.balancer.onResponseStarted(s.nowMs * 1000, request, 0);
        s.pull();
      }
    }
    List<SentAttempt> flow = List.copyOf(s.inFlight);
    assertEquals(flowing, flow.size(), "each was pushed, none waits");
    s.pass(1500);
    assertEquals(flowing, s.inFlight.size(), "nothing was pushed again for silence");
    long before = s.answers.size();
    assertTrue(
        s.traffic(40, "a") > 5 && s.answers.size() - before == 40, "others are served, by both");
    assertEquals(Set.of(AttemptOutcome.SUCCEEDED), new HashSet<>(s.outcomes.values()));
  }

  /** An attempt is timed, and its request's deadline counts, from the last byte of its content. */
  @Test
  void anRequestIsTimedFromItsLastByte() {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b");
    s.traffic(60, "a");
    long request = s.arriveWithoutBody("read");
    s.pass(5000);
    assertEquals(1, s.attempts.get(request), "not while it comes");
    s.body(request, true, true);
    s.pass(1000);
    assertEquals(
        2, s.attempts.get(request), "then its silence tells, and its TTL of 2 s has begun anew");
  }

  /** What was let go goes nowhere else: neither after a failure nor as a hedged attempt. */
  @ParameterizedTest
  @CsvSource({
    "once, CONNECT_FAILED, REJECT",
    "read, ERROR, REJECT",
    "cell, ERROR, FAIL",
    "cell, CONNECT_FAILED, REJECT",
    "read, SILENCE, NONE"
  })
  void aReleasedBodyIsNotSentAgain(String requestClass, String outcome, String answer) {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b");
    s.traffic(60, "a");
    long request = s.arriveWithoutBody(requestClass);
    s.body(request, false, false);
    s.body(request, true, false);
    if (outcome.equals("SILENCE")) {
      s.pass(1500);
    } else {
      s.endAttempt(s.lastAttemptOf(request), AttemptOutcome.valueOf(outcome));
    }
    assertEquals(1, s.attempts.get(request));
    assertEquals(answer, s.nextStep(request).toString());
  }

  /** Once one answer has begun the copies beside it are called back, and it is not. */
  @Test
  void hedgesBesideAStreamingAnswerAreCancelled() {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b");
    s.traffic(60, "a");
    long request = s.arrive("read");
    s.pass(400);
    assertEquals(2, s.inFlight.size());
    s.balancer.onResponseStarted(s.nowMs * 1000, request, 1);
    s.pull();
    assertEquals(List.of(1), s.inFlight.stream().map(SentAttempt::number).toList());
  }
}
