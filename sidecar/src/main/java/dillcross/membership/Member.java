package dillcross.membership;

/** A member as it is held here, since when by this instance's clock, in microseconds. */
public record Member(Claim claim, long sinceUs) {}
