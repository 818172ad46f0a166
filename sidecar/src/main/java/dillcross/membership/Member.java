package dillcross.membership;

/**
 * Another member, as one {@link Membership} holds it.
 *
 * @param record its newest record
 * @param sinceUs when that record was stored, in microseconds of this instance's clock
 */
public record Member(MemberRecord record, long sinceUs) {}
