package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.balancer.DecisionRecorder.SentAttempt;
import dillcross.model.AttemptOutcome;
import dillcross.model.RetryPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Covers which failures eject an endpoint and how it is readmitted; see {@link OutlierEjection}.
 */
class OutlierEjectionTest {
  private static final int CONSECUTIVE_FAILURES = 5;
  private static final int RESPONSE_MS = 5;

  /** Longer than a response can take: a timeout before that says nothing of the endpoint. */
  private static final int LONG_SILENCE_MS = 350;

  private static final int OVERLOAD_PAUSE_MS = 12_000;

  /**
   * Outcomes in the order in which the only endpoint gives them: E error, T timeout after a long
   * silence, t early timeout, R reset, X connection failed, F full, A success.
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
  void ejectsAfterConsecutiveFailuresOrHighFailureShare(String outcomes, boolean ejected) {
    BalancerFixture fixture = BalancerFixture.withEndpoints("a");

    for (int i = 0; i < outcomes.length(); i++) {
      endOneAttempt(fixture, outcomes.charAt(i));
    }

    fixture.updateEndpoints(false, "b");
    assertEquals(ejected, fixture.sendSequentially(30, "a") == 0);
  }

  private static void endOneAttempt(BalancerFixture fixture, char outcome) {
    long request = fixture.startRequest("once");
    fixture.advance(outcome == 'T' ? LONG_SILENCE_MS : 10);
    fixture.endAttempt(fixture.lastAttemptOf(request), outcomeOf(outcome));
    fixture.advance(outcome == 'F' ? OVERLOAD_PAUSE_MS : 10);
  }

  private static AttemptOutcome outcomeOf(char letter) {
    return switch (letter) {
      case 'E' -> AttemptOutcome.ERROR;
      case 'T', 't' -> AttemptOutcome.TIMED_OUT;
      case 'R' -> AttemptOutcome.RESET;
      case 'X' -> AttemptOutcome.CONNECT_FAILED;
      case 'F' -> AttemptOutcome.OVERLOADED;
      default -> AttemptOutcome.SUCCEEDED;
    };
  }

  /** Of two endpoints, "a" has just been ejected for consecutive failures. */
  private static BalancerFixture withEjectedEndpoint() {
    BalancerFixture fixture = BalancerFixture.withEndpoints("a", "b");
    int failures = 0;
    while (failures < CONSECUTIVE_FAILURES) {
      SentAttempt attempt = fixture.lastAttemptOf(fixture.startRequest("read"));
      boolean fails = attempt.endpoint().equals("a");
      fixture.advance(RESPONSE_MS);
      fixture.endAttempt(attempt, fails ? AttemptOutcome.ERROR : AttemptOutcome.SUCCEEDED);
      failures += fails ? 1 : 0;
      fixture.advance(RESPONSE_MS);
      fixture.succeedAll();
    }
    return fixture;
  }

  @ParameterizedTest
  @CsvSource({"SUCCEEDED, true", "ERROR, false", "TIMED_OUT, false"})
  void readmitsAfterOneSuccessOnProbation(AttemptOutcome outcome, boolean readmitted) {
    BalancerFixture fixture = withEjectedEndpoint();
    assertEquals(0, fixture.sendSequentially(30, "a")); // 0.6 s: within the shortest penalty

    fixture.advance(700);
    SentAttempt probation = fixture.lastAttemptOf(fixture.startRequest("read"));
    assertEquals("a", probation.endpoint());
    assertEquals(0, fixture.sendSequentially(2, "a"), "one request at a time on probation");
    fixture.endAttempt(probation, outcome);
    fixture.succeedAll();

    assertEquals(readmitted, fixture.sendPairs(60, "a") > 0); // 1.2 s
    fixture.advance(1300);
    assertTrue(fixture.sendPairs(60, "a") > 0, "the second penalty is at most twice the first");
  }

  @Test
  void replacesProbationRequestThatNeverEnds() {
    BalancerFixture fixture = withEjectedEndpoint();
    fixture.advance(1300);
    assertEquals("a", fixture.lastAttemptOf(fixture.startRequest("read")).endpoint());

    fixture.advance(10_000);

    assertEquals("a", fixture.lastAttemptOf(fixture.startRequest("read")).endpoint());
  }

  @Test
  void ignoresEjectionsWhenAllEndpointsAreEjected() {
    BalancerFixture fixture = BalancerFixture.withEndpoints("a");

    for (int i = 0; i < 6; i++) {
      endOneAttempt(fixture, 'E');
    }

    assertEquals("a", fixture.lastAttemptOf(fixture.startRequest("once")).endpoint());
  }

  /** A response after a pause ends an ejection that only missing responses caused. */
  @Test
  void readmitsSilentEndpointOnceItResponds() {
    BalancerFixture fixture = BalancerFixture.withEndpoints("a", "b");
    fixture.sendSequentially(40, "a");
    for (int i = 0; i < 24; i++) {
      fixture.startRequest("read");
      fixture.advance(RESPONSE_MS);
      fixture.endAttempts(attempt -> attempt.endpoint().equals("b"), AttemptOutcome.SUCCEEDED);
    }

    fixture.advance(200);
    fixture.succeedAll();

    fixture.advance(10_000); // until the latency of the pause is no longer remembered
    assertTrue(fixture.sendPairs(100, "a") > 10);
  }

  @Test
  void keepsEjectionsWhenSettingsChange() {
    BalancerFixture fixture = withEjectedEndpoint();

    fixture.applySettings(
        fixture.newSettings().retries(new RetryPolicy(3, false, true)).dynamicWeights(true));
    assertEquals(0, fixture.sendSequentially(15, "a"));

    fixture.applySettings(fixture.newSettings());
    assertEquals(0, fixture.sendSequentially(10, "a"));
  }
}
