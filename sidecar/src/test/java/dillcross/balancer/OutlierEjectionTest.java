package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.balancer.DecisionRecorder.SentAttempt;
import dillcross.model.AttemptOutcome;
import dillcross.model.RetryPolicy;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Covers which failures eject an endpoint and how it is readmitted; see {@link OutlierEjection}.
 */
class OutlierEjectionTest {
  private static final int CONSECUTIVE_FAILURES = 5;
  private static final int RESPONSE_MS = 5;

  /** How the only endpoint ends an attempt, and how long it takes. */
  private enum Ending {
    SUCCESS(AttemptOutcome.SUCCEEDED, 10, 10),
    ERROR(AttemptOutcome.ERROR, 10, 10),
    RESET(AttemptOutcome.RESET, 10, 10),
    CONNECT_FAILED(AttemptOutcome.CONNECT_FAILED, 10, 10),
    /** A timeout after 10 ms, before a response can be expected: no failure of the endpoint. */
    EARLY_TIMEOUT(AttemptOutcome.TIMED_OUT, 10, 10),
    /** A timeout after more time than a response can take. */
    LATE_TIMEOUT(AttemptOutcome.TIMED_OUT, 350, 10),
    /**
     * An overload answer, then 12 s without requests: longer than any backoff after such an answer.
     */
    OVERLOADED(AttemptOutcome.OVERLOADED, 10, 12_000);

    final AttemptOutcome outcome;
    final long durationMs;
    final long pauseMs;

    Ending(AttemptOutcome outcome, long durationMs, long pauseMs) {
      this.outcome = outcome;
      this.durationMs = durationMs;
      this.pauseMs = pauseMs;
    }
  }

  /** Each row has the endings of successive attempts, and whether they eject the endpoint. */
  @ParameterizedTest
  @CsvSource({
    "5 ERROR, true",
    "5 LATE_TIMEOUT, true",
    "5 RESET, true",
    "5 CONNECT_FAILED, true",
    "4 ERROR, false",
    "8 OVERLOADED, false",
    "7 EARLY_TIMEOUT, false",
    "2 ERROR + 2 SUCCESS + 2 ERROR + 2 SUCCESS, false",
    "2 ERROR + 3 OVERLOADED + 3 ERROR, true",
    "3 ERROR + 1 SUCCESS + 3 ERROR + 1 SUCCESS + 3 ERROR + 1 SUCCESS, true"
  })
  void ejectsAfterConsecutiveFailuresOrHighFailureFraction(String endings, boolean ejected) {
    BalancerFixture fixture = BalancerFixture.withEndpoints("a");

    parse(endings).forEach(ending -> endOneAttempt(fixture, ending));

    fixture.updateEndpoints(false, "b");
    assertEquals(ejected, fixture.sendSequentially(30, "a") == 0);
  }

  private static List<Ending> parse(String endings) {
    List<Ending> parsed = new ArrayList<>();
    for (String run : endings.split(" \\+ ")) {
      String[] countAndEnding = run.split(" ");
      int count = Integer.parseInt(countAndEnding[0]);
      parsed.addAll(Collections.nCopies(count, Ending.valueOf(countAndEnding[1])));
    }
    return parsed;
  }

  private static void endOneAttempt(BalancerFixture fixture, Ending ending) {
    long request = fixture.startRequest("once");
    fixture.advance(ending.durationMs);
    fixture.endAttempt(fixture.lastAttemptOf(request), ending.outcome);
    fixture.advance(ending.pauseMs);
  }

  /**
   * A load balancer with endpoints "a" and "b" that has just ejected "a" for consecutive failures.
   */
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
    // Takes 0.6 s; the penalty lasts at least 0.8 s, so "a" is still ejected.
    assertEquals(0, fixture.sendSequentially(30, "a"));

    fixture.advance(700);
    SentAttempt probation = fixture.lastAttemptOf(fixture.startRequest("read"));
    assertEquals("a", probation.endpoint());
    assertEquals(0, fixture.sendSequentially(2, "a"), "one request at a time on probation");
    fixture.endAttempt(probation, outcome);
    fixture.succeedAll();

    // Takes 1.2 s; a second penalty would last at least 1.6 s.
    assertEquals(readmitted, fixture.sendPairs(60, "a") > 0);
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
      endOneAttempt(fixture, Ending.ERROR);
    }

    assertEquals("a", fixture.lastAttemptOf(fixture.startRequest("once")).endpoint());
  }

  /** A response after a pause ends an ejection that was caused only by missing responses. */
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

    fixture.advance(10_000); // after 10 s the latency of the pause no longer counts
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
