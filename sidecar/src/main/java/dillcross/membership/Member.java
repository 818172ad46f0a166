package dillcross.membership;

/**
 * One other member in the table of a {@link Membership}.
 *
 * @param record newest record of the member
 * @param sinceUs time at which that record was stored, in microseconds of the clock of the inputs
 */
public record Member(MemberRecord record, long sinceUs) {}
