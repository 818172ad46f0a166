package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.model.AttemptOutcome;
import dillcross.model.Decision;
import dillcross.model.DeduplicationScope;
import dillcross.model.Idempotency;
import dillcross.model.RequestClass;
import dillcross.model.ServiceObjective;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ServiceObjectiveTest {
  /**
   * Of two endpoints one stands still for as long as the latency objective, at times; nothing is
   * earned after it.
   */
  private static BalancerFixture withTailObjective(double weight, double overdue) {
    BalancerFixture s =
        new BalancerFixture(
            new ServiceObjective(weight, 0.02),
            List.of(
                new RequestClass(
                    "read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 400_000, 1, overdue),
                new RequestClass(
                    "once",
                    Idempotency.NON_IDEMPOTENT,
                    DeduplicationScope.ALL,
                    0,
                    400_000,
                    1,
                    overdue)),
            BalancerFixture.RETRIES,
            false,
            false,
            "east",
            0,
            1);
    s.honoursAttemptDeadlines = true;
    s.updateList(true, "a", "b");
    for (int i = 0; i < 60; i++) {
      s.arrive(i % 2 == 0 ? "read" : "once");
      s.pass(80);
      s.endAttempts(p -> true, AttemptOutcome.SUCCEEDED);
    }
    return s;
  }

  /**
   * A pause of an endpoint held a request for its whole target: the copy came eight mean latencies
   * later, or never.
   */
  @ParameterizedTest
  @CsvSource({"0.3, read, true", "0, read, false", "0.3, once, false"})
  void hedgesWhileTheyCanStillBeInTime(double weight, String requestClass, boolean hedged) {
    BalancerFixture s = withTailObjective(weight, 0);
    long request = s.arrive(requestClass);
    s.pass(180);
    assertEquals(1, s.attempts.get(request), "it is early still");
    s.pass(100);
    assertEquals(hedged ? 2 : 1, s.attempts.get(request));
  }

  /**
   * An answer that is worth nothing must not be waited for, nor asked for again at once; what may
   * not run twice waits.
   */
  @ParameterizedTest
  @CsvSource({
    "0.3, 0, read, true",
    "0.3, 0.5, read, false",
    "0, 0, read, false",
    "0.3, 0, once, false"
  })
  void requestsThatCannotBeInTimeAreRejectedWithinTheirObjective(
      double weight, double overdue, String requestClass, boolean told) {
    BalancerFixture s = withTailObjective(weight, overdue);
    long request = s.arrive(requestClass);
    s.pass(399);
    assertEquals(told, s.answers.containsKey(request));
    if (told) {
      assertEquals(
          new Decision.Reject(request, 1_000_000),
          s.answers.get(request),
          "and comes back when it likes, but not now");
      assertTrue(s.inFlight.isEmpty(), "called back");
    }
  }
}
