package dillcross.balancer;

import dillcross.model.Idempotency;
import dillcross.model.RequestClass;
import dillcross.model.ServiceObjective;

/**
 * Decides until when a request may be answered: until its client's timeout, or earlier if a late
 * answer has no value, so that it can be rejected within its latency objective.
 */
final class RequestDeadline {
  private static final double EARLY_DEADLINE_FRACTION = 0.95; // of the latency objective

  private ServiceObjective objective;

  void configure(ServiceObjective newObjective) {
    objective = newObjective;
  }

  /** Whether requests of the class may end before their client's timeout. */
  boolean isEarly(RequestClass requestClass) {
    return objective.tailWeight() > 0
        && requestClass.lateValueShare() == 0
        && requestClass.idempotency() == Idempotency.IDEMPOTENT;
  }

  /** How long a request may take from its arrival, in microseconds. */
  long timeoutUs(RequestClass requestClass, long clientTimeoutUs) {
    long objectiveUs = (long) (EARLY_DEADLINE_FRACTION * requestClass.latencyObjectiveUs());
    return isEarly(requestClass) ? Math.min(clientTimeoutUs, objectiveUs) : clientTimeoutUs;
  }
}
