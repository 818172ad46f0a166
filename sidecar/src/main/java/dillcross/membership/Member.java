package dillcross.membership;

/**
 * A member as it is held here.
 *
 * @param sinceUs when the record came to be held, in microseconds of this instance's clock
 */
public record Member(MemberRecord record, long sinceUs) {}
