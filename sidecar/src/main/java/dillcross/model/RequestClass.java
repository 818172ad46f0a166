package dillcross.model;

/**
 * A class of requests with common rules and objectives. Immutable.
 *
 * @param name unique; requests carry it
 * @param idempotency whether its requests may be executed more than once
 * @param scope which endpoints recognise a repeated idempotency key
 * @param deduplicationWindowUs how long they recognise it, in microseconds
 * @param latencyObjectiveUs a response within it earns all of {@code priorityWeight}, in
 *     microseconds
 * @param priorityWeight the value of a response relative to other classes
 * @param lateValueShare the share of {@code priorityWeight} that a later response earns, 0 to 1
 */
public record RequestClass(
    String name,
    Idempotency idempotency,
    DeduplicationScope scope,
    long deduplicationWindowUs,
    long latencyObjectiveUs,
    double priorityWeight,
    double lateValueShare) {}
