package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dillcross.balancer.DecisionRecorder.NextStep;
import dillcross.model.AttemptOutcome;
import dillcross.model.DeduplicationScope;
import dillcross.model.Idempotency;
import dillcross.model.RequestClass;
import dillcross.model.RetryPolicy;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Covers requests that are open while settings change; see {@link LoadBalancer#applySettings}. */
class SettingsChangeTest {
  private static final RetryPolicy ONE_ATTEMPT = new RetryPolicy(1, false, true);

  /** The classes "read" and "once", each with the idempotency of the other. */
  private static final List<RequestClass> SWAPPED_CLASSES =
      List.of(
          SettingsBuilder.requestClass("read", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL),
          SettingsBuilder.requestClass("once", Idempotency.IDEMPOTENT, DeduplicationScope.ALL));

  /** What changes while a request is open. */
  private enum Change {
    TO_NON_IDEMPOTENT,
    TO_IDEMPOTENT,
    CHANGED_AND_REVERTED,
    FEWER_ATTEMPTS
  }

  @ParameterizedTest
  @CsvSource({
    "TO_NON_IDEMPOTENT, ERROR, SEND",
    "TO_IDEMPOTENT, ERROR, FAIL",
    "TO_IDEMPOTENT, CONNECT_FAILED, SEND",
    "CHANGED_AND_REVERTED, ERROR, SEND",
    "FEWER_ATTEMPTS, ERROR, SEND",
    "FEWER_ATTEMPTS, CONNECT_FAILED, SEND"
  })
  void openRequestKeepsRulesInForceWhenItArrived(
      Change change, AttemptOutcome outcome, NextStep expected) {
    BalancerFixture fixture = BalancerFixture.withEndpoints("a", "b", "c");
    fixture.sendSequentially(40, "a");
    String requestClass = change == Change.TO_IDEMPOTENT ? "once" : "read";
    long request = fixture.startRequest(requestClass);

    apply(change, fixture);
    fixture.endAttempt(fixture.lastAttemptOf(request), outcome);

    assertEquals(expected, fixture.nextStepOrSend(request));
    assertEquals(expected == NextStep.SEND ? 2 : 1, fixture.attemptCount(request));
    if (change != Change.CHANGED_AND_REVERTED) {
      long next = fixture.startRequest(requestClass);
      fixture.endAttempt(fixture.lastAttemptOf(next), AttemptOutcome.ERROR);
      int attempts = change == Change.TO_IDEMPOTENT ? 2 : 1;
      assertEquals(attempts, fixture.attemptCount(next), "a new request has the new rules");
    }
  }

  private static void apply(Change change, BalancerFixture fixture) {
    SettingsBuilder settings = fixture.newSettings().dynamicWeights(true);
    if (change == Change.FEWER_ATTEMPTS) {
      fixture.applySettings(settings.retries(ONE_ATTEMPT));
    } else {
      fixture.applySettings(settings.requestClasses(SWAPPED_CLASSES));
    }
    if (change == Change.CHANGED_AND_REVERTED) {
      fixture.applySettings(fixture.newSettings());
    }
  }
}
