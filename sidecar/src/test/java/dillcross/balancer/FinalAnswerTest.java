package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dillcross.balancer.DecisionRecorder.NextStep;
import dillcross.model.AttemptOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Covers the final answer to requests that no endpoint answers; see {@link FinalAnswer}. */
class FinalAnswerTest {
  /**
   * The client retries only after a rejection, so a request is rejected only if a retry is safe.
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
  void answersAtOnceWhenNoEndpointIsAvailable(
      String requestClass, AttemptOutcome outcome, NextStep answer) {
    BalancerFixture fixture = BalancerFixture.withEndpoints("a:UP:1:east");
    long request = fixture.startRequest(requestClass);
    fixture.advance(300);
    fixture.updateEndpoints(true, "a:DRAINING:1:east", "c:DRAINING:2:west");

    fixture.endAttempt(fixture.lastAttemptOf(request), outcome);

    assertEquals(answer, fixture.nextStep(request));
    fixture.advance(3000);
    assertEquals(1, fixture.attemptCount(request));
  }

  @Test
  void rejectsAtOnceWithoutEndpoints() {
    BalancerFixture fixture = BalancerFixture.withEndpoints("a:DRAINING");

    long request = fixture.startRequest("once");

    assertEquals(NextStep.REJECT, fixture.nextStep(request));
  }

  @Test
  void doesNotAnswerAfterClientDisconnected() {
    BalancerFixture fixture = BalancerFixture.withEndpoints("a", "b");
    long request = fixture.startRequest("read");

    fixture.disconnectClient(request);
    fixture.disconnectClient(request);
    fixture.advance(3000);

    assertEquals(
        BalancerFixture.ENDPOINT_ANSWER,
        fixture.answers.get(request),
        "the load balancer gives no answer of its own");
    assertEquals(1, fixture.attemptCount(request));
  }

  @ParameterizedTest
  @CsvSource({"0, 0, east", "-1, 7, ''", "1, 2000000000, nowhere", "500, 3, east"})
  void servesWithUnusualInstanceSettings(int instanceCount, int instanceIndex, String zone) {
    BalancerFixture fixture =
        new BalancerFixture(new SettingsBuilder().instance(zone, instanceIndex, instanceCount));
    assertEquals(NextStep.REJECT, fixture.nextStep(fixture.startRequest("once")));

    fixture.updateEndpoints(true, "a:UP:1:");
    assertEquals(10, fixture.sendAtIntervals(10, 250).get("a"));

    fixture.updateEndpoints(true);
    assertEquals(NextStep.REJECT, fixture.nextStep(fixture.startRequest("once")));

    fixture.updateEndpoints(true, "a:UP:1:", "b:UP:2:west");
    int answered =
        fixture.sendAtIntervals(10, 250).values().stream().mapToInt(Integer::intValue).sum();
    assertEquals(10, answered);
  }
}
