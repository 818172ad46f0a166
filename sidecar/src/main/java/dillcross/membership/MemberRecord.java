package dillcross.membership;

/**
 * What somebody says of a member.
 *
 * @param boot tells a process from the one that had its name before: microseconds since 1970 at its
 *     start, raised where that went back
 * @param incarnation raised by the member alone, to refute what is said of it
 * @param suspectedBy who suspects it; empty otherwise
 */
public record MemberRecord(
    String name,
    String address,
    String zone,
    long boot,
    long incarnation,
    MemberState state,
    String suspectedBy) {
  // Two numbers, the state, the marks around them: more than any encoding takes.
  private static final int FIXED_BYTES = 32;

  /** Whether it tells something newer than the other, of the same name. */
  boolean supersedes(MemberRecord other) {
    if (boot != other.boot) {
      return boot > other.boot;
    }
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    return state.compareTo(other.state) > 0;
  }

  /** The same incarnation in another state. */
  MemberRecord withState(MemberState newState, String newSuspectedBy) {
    return new MemberRecord(name, address, zone, boot, incarnation, newState, newSuspectedBy);
  }

  /** Whether both speak of the same process in the same incarnation. */
  boolean isSameIncarnation(MemberRecord other) {
    return boot == other.boot && incarnation == other.incarnation;
  }

  /** Bytes that it takes in a datagram, at the most. */
  int size() {
    return FIXED_BYTES + name.length() + address.length() + zone.length() + suspectedBy.length();
  }
}
