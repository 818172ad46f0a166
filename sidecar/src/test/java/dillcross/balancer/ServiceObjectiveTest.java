package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.model.Decision;
import dillcross.model.DeduplicationScope;
import dillcross.model.Idempotency;
import dillcross.model.RequestClass;
import dillcross.model.ServiceObjective;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Covers hedging and early rejections if few requests may miss their latency objective; see {@link
 * dillcross.model.ServiceObjective}, {@link SilenceMonitor} and {@link RequestDeadline}.
 */
class ServiceObjectiveTest {
  private static final double TAIL_SLACK = 0.02;
  private static final int LATENCY_MS = 80;
  private static final long RETRY_AFTER_US = 1_000_000;

  /**
   * A load balancer with two endpoints, which have responded after 80 ms so far, and two request
   * classes with a latency objective of 400 ms.
   */
  private static BalancerFixture withObjective(double tailWeight, double lateValueShare) {
    SettingsBuilder settings =
        new SettingsBuilder()
            .instance("east", 0, 1)
            .objective(new ServiceObjective(tailWeight, TAIL_SLACK))
            .requestClasses(
                List.of(
                    requestClass("read", Idempotency.IDEMPOTENT, lateValueShare),
                    requestClass("once", Idempotency.NON_IDEMPOTENT, lateValueShare)));
    BalancerFixture fixture = new BalancerFixture(settings);
    fixture.enforceAttemptDeadlines();
    fixture.updateEndpoints(true, "a", "b");
    for (int i = 0; i < 60; i++) {
      fixture.startRequest(i % 2 == 0 ? "read" : "once");
      fixture.advance(LATENCY_MS);
      fixture.succeedAll();
    }
    return fixture;
  }

  private static RequestClass requestClass(
      String name, Idempotency idempotency, double lateValueShare) {
    return new RequestClass(
        name,
        idempotency,
        DeduplicationScope.ALL,
        0,
        SettingsBuilder.LATENCY_OBJECTIVE_US,
        1,
        lateValueShare);
  }

  /** A hedge keeps an endpoint's pause from holding a request until its objective has passed. */
  @ParameterizedTest
  @CsvSource({"0.3, read, true", "0, read, false", "0.3, once, false"})
  void hedgesInTimeForTheLatencyObjective(double tailWeight, String requestClass, boolean hedged) {
    BalancerFixture fixture = withObjective(tailWeight, 0);

    long request = fixture.startRequest(requestClass);

    fixture.advance(180);
    assertEquals(1, fixture.attemptCount(request), "too early for a hedge");
    fixture.advance(100);
    assertEquals(hedged ? 2 : 1, fixture.attemptCount(request));
  }

  /**
   * Requests are rejected early only if a late response has no value and a retry by the client is
   * harmless.
   */
  @ParameterizedTest
  @CsvSource({
    "0.3, 0, read, true",
    "0.3, 0.5, read, false",
    "0, 0, read, false",
    "0.3, 0, once, false"
  })
  void rejectsRequestsThatWillMissTheirObjective(
      double tailWeight, double lateValueShare, String requestClass, boolean rejected) {
    BalancerFixture fixture = withObjective(tailWeight, lateValueShare);

    long request = fixture.startRequest(requestClass);
    fixture.advance(399);

    assertEquals(rejected, fixture.answers.containsKey(request));
    if (rejected) {
      assertEquals(
          new Decision.Reject(request, RETRY_AFTER_US),
          fixture.answers.get(request),
          "an immediate retry would be late too");
      assertTrue(fixture.inFlight.isEmpty(), "its attempt is cancelled");
    }
  }
}
