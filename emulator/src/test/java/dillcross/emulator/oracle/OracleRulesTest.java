package dillcross.emulator.oracle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Each group of rules: permitted behaviour up to its limit, and the smallest violation. */
class OracleRulesTest {
  private static final int OK = 200;
  private static final int REJECTED = 503;

  private final OracleFixture fixture = new OracleFixture();

  private void assertBroken(String... rules) {
    assertEquals(List.of(rules), fixture.brokenRules());
  }

  private ObservedRequest acceptedRequest() {
    ObservedRequest request = fixture.sentRequest("keyed");
    fixture.duplicateRules.onAccepted(request, fixture.attempt(request, OracleFixture.FIRST));
    return request;
  }

  @Test
  void permitsOneAnswerWithinTimeoutAndSlack() {
    ObservedRequest request = acceptedRequest();
    fixture.advanceMs(515);
    fixture.answerRules.onAnswer(request, OK, fixture.nowUs(), true, true);
    fixture.answerRules.onTimeout(request);
    assertBroken();
  }

  @Test
  void reportsAnswerAfterTimeoutAndSlack() {
    ObservedRequest request = acceptedRequest();
    fixture.advanceMs(516);
    fixture.answerRules.onAnswer(request, OK, fixture.nowUs(), true, true);
    assertBroken("IN_TIME");
  }

  @Test
  void extendsDeadlineByStallOfTheSameSidecarOnly() {
    ObservedRequest request = acceptedRequest();
    long fromUs = fixture.nowUs();
    fixture.disturbances.addStall(OracleFixture.SIDECAR, fromUs, fromUs + 100_000);
    fixture.disturbances.addStall(OracleFixture.SIDECAR + 1, fromUs, fromUs + 100_000);
    fixture.advanceMs(615);
    fixture.answerRules.onAnswer(request, OK, fixture.nowUs(), true, true);
    assertBroken();
    assertEquals(115_000, fixture.disturbances.slackUs(request));
  }

  @Test
  void reportsSecondAnswerMissingAnswerAndUnexpectedBytes() {
    ObservedRequest answered = acceptedRequest();
    fixture.answerRules.onAnswer(answered, OK, fixture.nowUs(), true, true);
    fixture.answerRules.onAnswer(answered, OK, fixture.nowUs(), true, true);
    fixture.answerRules.onTimeout(fixture.sentRequest("keyed"));
    fixture.answerRules.onUnexpectedBytes(answered, 7);
    fixture.answerRules.onConnectionDropped(fixture.sentRequest("keyed"));
    assertBroken("ONE_ANSWER", "ONE_ANSWER", "ONE_ANSWER", "ONE_ANSWER");
  }

  @Test
  void expectsNoAnswerForExcusedRequest() {
    ObservedRequest request = fixture.sentRequest("keyed");
    request.markClientDisconnected(fixture.nowUs());
    fixture.answerRules.onTimeout(request);
    assertBroken();
  }

  @Test
  void reportsContentOfNoEndpointAndAnswerCutAfterItWasRead() {
    fixture.answerRules.onAnswer(fixture.sentRequest("keyed"), OK, fixture.nowUs(), true, true);
    ObservedRequest cut = fixture.sentRequest("keyed");
    ObservedRequest.Attempt attempt = fixture.attempt(cut, OracleFixture.FIRST);
    fixture.duplicateRules.onAccepted(cut, attempt);
    attempt.markAnswerRead();
    fixture.answerRules.onAnswer(cut, OK, fixture.nowUs(), false, true);
    assertBroken("TRUE_CONTENT", "TRUE_CONTENT");
  }

  @Test
  void reportsRejectionHeldBackLongerThanTheObjective() {
    ObservedRequest request = fixture.sentRequest("keyed");
    fixture.attempt(request, OracleFixture.FIRST).end(fixture.nowUs());
    fixture.advanceMs(116);
    fixture.answerRules.onAnswer(request, REJECTED, fixture.nowUs(), true, true);
    assertBroken("NOT_HELD");
  }

  @Test
  void permitsLateRejectionWhileAnAttemptIsInFlightOrHidden() {
    ObservedRequest inFlight = fixture.sentRequest("keyed");
    fixture.attempt(inFlight, OracleFixture.FIRST);
    ObservedRequest hidden = fixture.sentRequest("keyed");
    fixture.advanceMs(116);
    fixture.answerRules.onAnswer(inFlight, REJECTED, fixture.nowUs(), true, true);
    fixture.disturbances.addHiddenAttempts(fixture.nowUs(), fixture.nowUs());
    fixture.answerRules.onAnswer(hidden, REJECTED, fixture.nowUs(), true, true);
    assertBroken();
  }

  @Test
  void reportsAttemptAfterAnswerWhicheverIsObservedFirst() {
    ObservedRequest request = acceptedRequest();
    long answeredUs = fixture.nowUs();
    fixture.advanceMs(1);
    fixture.attempt(request, OracleFixture.FIRST);
    fixture.answerRules.onAnswer(request, OK, answeredUs, true, true);
    assertBroken("NOTHING_AFTER");
    fixture.attemptRules.onAttempt(request, request.attempts().get(1));
    assertBroken("NOTHING_AFTER", "NOTHING_AFTER");
  }

  @Test
  void reportsAttemptAfterTimeoutAndAfterClientDisconnect() {
    ObservedRequest late = fixture.sentRequest("keyed");
    ObservedRequest abandoned = fixture.sentRequest("keyed");
    abandoned.markClientDisconnected(fixture.nowUs());
    fixture.advanceMs(115);
    fixture.attemptRules.onAttempt(abandoned, fixture.attempt(abandoned, OracleFixture.FIRST));
    assertBroken();
    fixture.advanceMs(1);
    fixture.attemptRules.onAttempt(abandoned, fixture.attempt(abandoned, OracleFixture.FIRST));
    assertBroken("NOTHING_AFTER");
    fixture.advanceMs(400);
    fixture.attemptRules.onAttempt(late, fixture.attempt(late, OracleFixture.FIRST));
    assertBroken("NOTHING_AFTER", "NOTHING_AFTER");
  }

  @Test
  void reportsAttemptAboveTheMaximum() {
    ObservedRequest request = fixture.sentRequest("keyed");
    for (int i = 0; i < 3; i++) {
      fixture.attemptRules.onAttempt(request, fixture.attempt(request, OracleFixture.FIRST));
    }
    assertBroken("PUSH_LIMIT");
  }

  @Test
  void reportsRepeatInAnotherScopeOrAfterItsWindow() {
    ObservedRequest otherScope = acceptedRequest();
    fixture.duplicateRules.onAccepted(
        otherScope, fixture.attempt(otherScope, OracleFixture.OTHER_ZONE));
    assertBroken("NO_EFFECT_TWICE");
    ObservedRequest sameScope = acceptedRequest();
    fixture.advanceMs(2_000);
    fixture.duplicateRules.onAccepted(sameScope, fixture.attempt(sameScope, OracleFixture.FIRST));
    assertBroken("NO_EFFECT_TWICE");
    ObservedRequest tooLate = acceptedRequest();
    fixture.advanceMs(2_001);
    fixture.duplicateRules.onAccepted(tooLate, fixture.attempt(tooLate, OracleFixture.FIRST));
    assertBroken("NO_EFFECT_TWICE", "NO_EFFECT_TWICE");
  }

  @Test
  void reportsAnyRepeatOfAtMostOnceWorkAndNoneOfIdempotentWork() {
    for (String effect : List.of("idempotent", "at_most_once")) {
      ObservedRequest request = fixture.sentRequest(effect);
      for (int i = 0; i < 2; i++) {
        fixture.duplicateRules.onAccepted(request, fixture.attempt(request, OracleFixture.FIRST));
      }
    }
    assertBroken("NO_EFFECT_TWICE");
  }

  @Test
  void reportsSecondExecutionUnlessTheProcessEnded() {
    ObservedRequest request = fixture.sentRequest("keyed");
    fixture.duplicateRules.onExecuted(request, "e0");
    fixture.duplicateRules.onExecuted(request, "e1");
    assertBroken("NO_EFFECT_TWICE");
    request.markOrphaned();
    fixture.duplicateRules.onExecuted(request, "e1");
    assertBroken("NO_EFFECT_TWICE");
  }

  private void attemptOfProcess() {
    ObservedRequest request = fixture.sentRequest("keyed");
    fixture.drainRules.onAttempt(
        OracleFixture.PROCESS, request, fixture.attempt(request, OracleFixture.FIRST));
  }

  @Test
  void reportsAttemptOnceTheProcessHasReadOfTheDrain() {
    fixture.drainRules.onEntryRead(OracleFixture.PROCESS, "e0", false, 0);
    fixture.advanceMs(50);
    attemptOfProcess();
    assertBroken();
    fixture.advanceMs(1);
    attemptOfProcess();
    assertBroken("DRAIN_KEPT");
  }

  @Test
  void readsAbsenceFromFullListAsDrain() {
    fixture.drainRules.onEntryRead(OracleFixture.PROCESS, "e0", true, 7);
    fixture.drainRules.onFullListRead(OracleFixture.PROCESS, Set.of("e1"));
    fixture.advanceMs(51);
    attemptOfProcess();
    assertBroken("DRAIN_KEPT");
    assertTrue(fixture.drainRules.knowsStart(OracleFixture.PROCESS, "e0", 7));
    assertFalse(fixture.drainRules.knowsStart(OracleFixture.PROCESS, "e0", 8));
  }

  @Test
  void countsDrainAsReadAfterSixSecondsOfAnUndisturbedList() {
    fixture.drainRules.onListChange("e0", false);
    long changedUs = fixture.nowUs();
    fixture.disturbances.addListOutage(changedUs + 5_000_000, changedUs + 7_000_000);
    fixture.advanceMs(13_050);
    attemptOfProcess();
    assertBroken();
    fixture.advanceMs(1);
    attemptOfProcess();
    assertBroken("DRAIN_KEPT");
  }

  @Test
  void forgetsDrainWhenTheEndpointIsInServiceAgain() {
    fixture.drainRules.onListChange("e0", false);
    fixture.drainRules.onListChange("e0", true);
    fixture.advanceMs(60_000);
    attemptOfProcess();
    assertBroken();
  }
}
