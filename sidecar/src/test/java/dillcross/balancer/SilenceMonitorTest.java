package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.balancer.DecisionRecorder.SentAttempt;
import dillcross.model.AttemptOutcome;
import dillcross.model.RetryPolicy;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Covers attempts that get no response, and when hedges are sent; see {@link SilenceMonitor}. */
class SilenceMonitorTest {
  @Test
  void hedgesAndAvoidsEndpointThatNeverResponds() {
    BalancerFixture fixture = BalancerFixture.withEndpoints("a", "b", "c");
    fixture.sendSequentially(60, "a");

    int hedges = 0;
    for (int i = 0; i < 80; i++) {
      fixture.startRequest("read");
      fixture.advance(25);
      for (SentAttempt attempt : List.copyOf(fixture.inFlight)) {
        if (!attempt.endpoint().equals("a")) {
          hedges += attempt.number();
          fixture.endAttempt(attempt, AttemptOutcome.SUCCEEDED);
        }
      }
    }

    assertTrue(hedges > 0);
    long toSilent =
        fixture.sentAttempts.stream()
            .filter(attempt -> attempt.endpoint().equals("a"))
            .filter(attempt -> attempt.sentMs() > fixture.nowMs - 1000)
            .count();
    assertTrue(toSilent <= 2, "attempts in the last second: " + toSilent);
  }

  /** Attempts that are overdue must not use up the concurrency limit until their deadlines. */
  @Test
  void detectsSilenceThatFollowsAResponse() {
    BalancerFixture fixture = BalancerFixture.withEndpoints("a", "b");
    fixture.sendSequentially(60, "a");
    for (int i = 0; i < 5; i++) {
      fixture.startRequest("once");
    }
    fixture.advance(20);
    fixture.endAttempt(fixture.inFlight.get(0), AttemptOutcome.SUCCEEDED);

    fixture.advance(1500);
    fixture.updateEndpoints(true, "c");

    assertEquals(20, fixture.sendSequentially(20, "c"));
  }

  /** An attempt has a deadline of its own only if no hedge is allowed but a retry is. */
  @ParameterizedTest
  @CsvSource({
    "read, 4, false, true",
    "read, 4, true, false",
    "read, 1, false, false",
    "once, 4, false, false",
    "zone, 4, false, false"
  })
  void limitsAttemptsWhereRetryMayReplaceHedge(
      String requestClass, int maxAttempts, boolean hedgingAllowed, boolean hasDeadline) {
    SettingsBuilder settings =
        new SettingsBuilder().retries(new RetryPolicy(maxAttempts, hedgingAllowed, true));
    BalancerFixture fixture = BalancerFixture.withSettings(settings, "a", "b");

    SentAttempt attempt = fixture.lastAttemptOf(fixture.startRequest(requestClass));

    assertEquals(hasDeadline, attempt.deadlineMs() > fixture.nowMs);
  }

  @ParameterizedTest
  @CsvSource({"true, true, 2", "true, false, 2", "false, true, 1"})
  void hedgesByPolicyInForceWhenRequestArrived(
      boolean allowedBefore, boolean allowedAfter, int attempts) {
    SettingsBuilder settings =
        new SettingsBuilder().retries(new RetryPolicy(4, allowedBefore, true));
    BalancerFixture fixture = BalancerFixture.withSettings(settings, "a", "b", "c");
    fixture.sendSequentially(60, "a");
    long request = fixture.startRequest("read");

    fixture.applySettings(fixture.newSettings().retries(new RetryPolicy(4, allowedAfter, true)));
    fixture.advance(300);

    assertEquals(attempts, fixture.attemptCount(request));
  }
}
