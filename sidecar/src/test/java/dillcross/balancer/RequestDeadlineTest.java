package dillcross.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.model.DeduplicationScope;
import dillcross.model.Idempotency;
import dillcross.model.RequestClass;
import dillcross.model.ServiceObjective;
import org.junit.jupiter.api.Test;

/** Covers whether a request ends before its client's timeout; see {@link RequestDeadline}. */
class RequestDeadlineTest {
  private static final long OBJECTIVE_US = 400_000;
  private static final long CLIENT_TIMEOUT_US = 2_000_000;
  private static final ServiceObjective WITH_TAIL = new ServiceObjective(1, 0.01);
  private static final ServiceObjective WITHOUT_TAIL = new ServiceObjective(0, 0);

  @Test
  void endsWithinTheObjectiveWhereALateAnswerHasNoValue() {
    RequestDeadline deadline = deadline(WITH_TAIL);
    RequestClass requestClass = requestClass(Idempotency.IDEMPOTENT, 0);

    assertTrue(deadline.isEarly(requestClass));
    assertEquals(380_000, deadline.timeoutUs(requestClass, CLIENT_TIMEOUT_US));
    assertEquals(100_000, deadline.timeoutUs(requestClass, 100_000));
  }

  @Test
  void keepsTheClientsTimeoutWhereALateAnswerHasValue() {
    assertIsNotEarly(WITH_TAIL, requestClass(Idempotency.IDEMPOTENT, 0.5));
  }

  @Test
  void keepsTheClientsTimeoutWithoutTailObjective() {
    assertIsNotEarly(WITHOUT_TAIL, requestClass(Idempotency.IDEMPOTENT, 0));
  }

  @Test
  void keepsTheClientsTimeoutUnlessIdempotent() {
    assertIsNotEarly(WITH_TAIL, requestClass(Idempotency.NON_IDEMPOTENT, 0));
    assertIsNotEarly(WITH_TAIL, requestClass(Idempotency.IDEMPOTENT_WITH_KEY, 0));
  }

  private static void assertIsNotEarly(ServiceObjective objective, RequestClass requestClass) {
    RequestDeadline deadline = deadline(objective);
    assertFalse(deadline.isEarly(requestClass));
    assertEquals(CLIENT_TIMEOUT_US, deadline.timeoutUs(requestClass, CLIENT_TIMEOUT_US));
  }

  private static RequestDeadline deadline(ServiceObjective objective) {
    RequestDeadline deadline = new RequestDeadline();
    deadline.configure(objective);
    return deadline;
  }

  private static RequestClass requestClass(Idempotency idempotency, double lateValueShare) {
    return new RequestClass(
        "read", idempotency, DeduplicationScope.ALL, 1_000_000, OBJECTIVE_US, 1, lateValueShare);
  }
}
