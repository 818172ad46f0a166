package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dillcross.balancer.BalancerFixture.NextStep;
import dillcross.model.AttemptOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class GivingUpTest {
  /**
   * No endpoint may take it again: the answer comes at once, and is a rejection only where that is
   * safe.
   */
  @ParameterizedTest
  @CsvSource({
    "read, ERROR, REJECT",
    "read, TIMED_OUT, REJECT",
    "cell, ERROR, FAIL",
    "zone, TIMED_OUT, FAIL",
    "any, ERROR, REJECT",
    "once, ERROR, FAIL",
    "once, CONNECT_FAILED, REJECT",
    "cell, OVERLOADED, REJECT"
  })
  void theLastAnswerIsPromptAndTrue(String requestClass, AttemptOutcome outcome, NextStep answer) {
    BalancerFixture s = BalancerFixture.withEndpoints("a:UP:1:east");
    long request = s.arrive(requestClass);
    s.pass(300);
    s.updateList(true, "a:DRAINING:1:east", "c:DRAINING:2:west");
    s.endAttempt(s.lastAttemptOf(request), outcome);
    assertEquals(answer, s.nextStep(request));
    s.pass(3000);
    assertEquals(1, s.attempts.get(request));
  }

  @Test
  void withoutEndpointsTheRejectionIsPrompt() {
    BalancerFixture s = BalancerFixture.withEndpoints("a:DRAINING");
    assertEquals(NextStep.REJECT, s.nextStep(s.arrive("once")));
  }

  @Test
  void aFinishedRequestStaysFinished() {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b");
    long request = s.arrive("read");
    s.balancer.onClientDisconnected(s.nowMs * 1000, request);
    s.pull();
    s.balancer.onClientDisconnected(s.nowMs * 1000, request);
    s.pass(3000);
    assertEquals(BalancerFixture.ENDPOINT_ANSWER, s.answers.get(request), "no answer of ours");
    assertEquals(1, s.attempts.get(request));
  }

  /** Odd settings and lists: prompt, truthful answers and no exception. */
  @ParameterizedTest
  @CsvSource({"0, 0, east", "-1, 7, ''", "1, 2000000000, nowhere", "500, 3, east"})
  void oddFleetsAreServed(int sidecars, int me, String zone) {
    BalancerFixture s = new BalancerFixture(BalancerFixture.RETRIES, false, zone, me, sidecars);
    assertEquals(NextStep.REJECT, s.nextStep(s.arrive("once")));
    s.updateList(true, "a:UP:1:");
    assertEquals(10, s.thinTraffic(10, 250).get("a"));
    s.updateList(true);
    assertEquals(NextStep.REJECT, s.nextStep(s.arrive("once")));
    s.updateList(true, "a:UP:1:", "b:UP:2:west");
    assertEquals(10, s.thinTraffic(10, 250).values().stream().mapToInt(n -> n).sum());
  }
}
