package dillcross.model;

/**
 * A class of requests with common rules and objectives. Immutable.
 *
 * @param name the unique name that requests carry
 * @param idempotency whether requests of the class may be executed more than once
 * @param scope which endpoints recognise a repeated idempotency key
 * @param deduplicationWindowUs how long endpoints recognise a key, in microseconds
 * @param latencyObjectiveUs the latency objective, in microseconds; a response within it earns all
 *     of {@code priorityWeight}
 * @param priorityWeight the value of a response relative to other classes
 * @param lateValueShare the share of {@code priorityWeight} that a response after the objective
 *     earns, 0 to 1
 */
public record RequestClass(
    String name,
    Idempotency idempotency,
    DeduplicationScope scope,
    long deduplicationWindowUs,
    long latencyObjectiveUs,
    double priorityWeight,
    double lateValueShare) {}
