package dillcross.model;

/**
 * A class of requests that share their rules and objectives.
 *
 * @param name as requests name it
 * @param idempotency what running a request a second time would do
 * @param scope which endpoints recognise a repeated idempotency key
 * @param deduplicationWindowUs how long they recognise it, in microseconds
 * @param latencyObjectiveUs an answer within it earns all of {@code priorityWeight}, in
 *     microseconds
 * @param priorityWeight what an answer is worth, compared with other classes
 * @param lateValueShare the part of {@code priorityWeight} that a later answer still earns, 0 to 1
 */
public record RequestClass(
    String name,
    Idempotency idempotency,
    DeduplicationScope scope,
    long deduplicationWindowUs,
    long latencyObjectiveUs,
    double priorityWeight,
    double lateValueShare) {}
