package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.balancer.DecisionRecorder.SentAttempt;
import dillcross.model.AttemptOutcome;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Covers requests whose body, or whose response's body, is still being transferred; see {@link
 * LoadBalancer#onRequestBody} and {@link LoadBalancer#onResponseStarted}.
 */
class BodyStreamingTest {
  private static BalancerFixture withTraffic() {
    BalancerFixture fixture = BalancerFixture.withEndpoints("a", "b");
    fixture.sendSequentially(60, "a");
    return fixture;
  }

  /**
   * An attempt whose request or response body is being transferred counts neither against the
   * concurrency limit nor as silent.
   */
  @ParameterizedTest
  @ValueSource(strings = {"REQUEST", "RESPONSE"})
  void doesNotCountStreamingAttemptsAgainstTheLimit(String streamedBody) {
    BalancerFixture fixture = withTraffic();
    int streams = 40;

    for (int i = 0; i < streams; i++) {
      if (streamedBody.equals("REQUEST")) {
        fixture.startStreamingRequest("read");
      } else {
        startStreamingResponse(fixture);
      }
    }
    assertEquals(streams, fixture.inFlight.size(), "each was sent, none waits");
    fixture.advance(1500);
    assertEquals(streams, fixture.inFlight.size(), "none was hedged");

    long answersBefore = fixture.answers.size();
    long toFirst = fixture.sendSequentially(40, "a");
    assertTrue(
        toFirst > 5 && fixture.answers.size() - answersBefore == 40,
        "other requests are served, by both endpoints");
    assertEquals(Set.of(AttemptOutcome.SUCCEEDED), new HashSet<>(fixture.outcomes.values()));
  }

  private static void startStreamingResponse(BalancerFixture fixture) {
    long request = fixture.startRequest("read");
    fixture.clientDeadlinesMs.put(request, Long.MAX_VALUE);
    fixture.advance(20);
    fixture.startResponse(request, 0);
  }

  @Test
  void measuresTimeFromTheLastByteOfTheBody() {
    BalancerFixture fixture = withTraffic();
    long request = fixture.startStreamingRequest("read");
    fixture.advance(5000);
    assertEquals(1, fixture.attemptCount(request), "no hedge while the body arrives");

    fixture.receiveBody(request, true, true);
    fixture.advance(1000);

    assertEquals(
        2,
        fixture.attemptCount(request),
        "hedged once silent: its time only starts when the body is complete");
  }

  /**
   * A request whose body was partly released must not be sent again, neither as a retry nor as a
   * hedge.
   */
  @ParameterizedTest
  @CsvSource({
    "once, CONNECT_FAILED, REJECT",
    "read, ERROR, REJECT",
    "cell, ERROR, FAIL",
    "cell, CONNECT_FAILED, REJECT",
    "read, SILENCE, NONE"
  })
  void doesNotResendRequestWhoseBodyWasReleased(
      String requestClass, String outcome, String answer) {
    BalancerFixture fixture = withTraffic();
    long request = fixture.startStreamingRequest(requestClass);
    fixture.receiveBody(request, false, false);
    fixture.receiveBody(request, true, false);

    if (outcome.equals("SILENCE")) {
      fixture.advance(1500);
    } else {
      fixture.endAttempt(fixture.lastAttemptOf(request), AttemptOutcome.valueOf(outcome));
    }

    assertEquals(1, fixture.attemptCount(request));
    assertEquals(answer, fixture.nextStep(request).toString());
  }

  @Test
  void cancelsOtherAttemptsOnceAResponseStarts() {
    BalancerFixture fixture = withTraffic();
    long request = fixture.startRequest("read");
    fixture.advance(400);
    assertEquals(2, fixture.inFlight.size());

    fixture.startResponse(request, 1);

    assertEquals(List.of(1), fixture.inFlight.stream().map(SentAttempt::number).toList());
  }
}
