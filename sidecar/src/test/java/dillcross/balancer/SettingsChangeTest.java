package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dillcross.balancer.BalancerFixture.NextStep;
import dillcross.model.AttemptOutcome;
import dillcross.model.DeduplicationScope;
import dillcross.model.Idempotency;
import dillcross.model.RequestClass;
import dillcross.model.RetryPolicy;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsChangeTest {
  /**
   * A request that is open over a switch, forth and back, keeps the rules it came in with; a new
   * one gets the new ones.
   */
  @ParameterizedTest
  @CsvSource({
    "IDEMPOTENT_THEN_ONCE, ERROR, SEND",
    "ONCE_THEN_IDEMPOTENT, ERROR, FAIL",
    "ONCE_THEN_IDEMPOTENT, CONNECT_FAILED, SEND",
    "FORTH_AND_BACK, ERROR, SEND",
    "FEWER_ATTEMPTS, ERROR, SEND",
    "FEWER_ATTEMPTS, CONNECT_FAILED, SEND"
  })
  void anOpenRequestKeepsItsRules(String how, AttemptOutcome outcome, NextStep then) {
    BalancerFixture s = BalancerFixture.withEndpoints("a", "b", "c");
    s.traffic(40, "a");
    List<RequestClass> other =
        List.of(
            BalancerFixture.requestClass(
                "read", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL),
            BalancerFixture.requestClass("once", Idempotency.IDEMPOTENT, DeduplicationScope.ALL));
    long request = s.arrive(how.startsWith("ONCE") ? "once" : "read");
    s.applySettings(
        how.equals("FEWER_ATTEMPTS") ? new RetryPolicy(1, false, true) : BalancerFixture.RETRIES,
        true,
        how.equals("FEWER_ATTEMPTS") ? BalancerFixture.REQUEST_CLASSES : other);
    if (how.equals("FORTH_AND_BACK")) {
      s.applySettings(BalancerFixture.RETRIES, false, BalancerFixture.REQUEST_CLASSES);
    }
    s.endAttempt(s.lastAttemptOf(request), outcome);
    NextStep step = s.nextStep(request);
    assertEquals(then, step == NextStep.NONE ? NextStep.SEND : step);
    assertEquals(then == NextStep.SEND ? 2 : 1, s.attempts.get(request));
    if (!how.equals("FORTH_AND_BACK")) {
      long next = s.arrive(how.startsWith("ONCE") ? "once" : "read");
      s.endAttempt(s.lastAttemptOf(next), AttemptOutcome.ERROR);
      assertEquals(
          how.startsWith("ONCE") ? 2 : 1, s.attempts.get(next), "a new op has the new rules");
    }
  }
}
