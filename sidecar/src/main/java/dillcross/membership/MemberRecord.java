package dillcross.membership;

/**
 * One member's state as it is gossiped. Of two records with one name, the one with the greater boot
 * supersedes the other; with equal boots the greater incarnation decides, then the later state.
 *
 * @param name name of the member, unique within the fleet
 * @param address numeric address and port at which the member receives datagrams
 * @param zone zone in which the member runs; empty for none
 * @param boot identifies one run of the process: microseconds since 1970 at its start, raised where
 *     the wall clock went back
 * @param incarnation number that only the member itself raises, to refute a record that is wrong
 *     about it
 * @param state state of the member that this record claims
 * @param suspectedBy name of the member that raised the suspicion; empty unless the state is
 *     suspect
 */
public record MemberRecord(
    String name,
    String address,
    String zone,
    long boot,
    long incarnation,
    MemberState state,
    String suspectedBy) {
  /** The value of {@code suspectedBy} while the member is not suspect. */
  static final String NOT_SUSPECTED = "";

  // An upper bound of the encoded bytes of the boot, the incarnation, the state and the framing.
  private static final int FIXED_BYTES = 32;

  /** Whether this record replaces the other one, which has the same name. */
  boolean supersedes(MemberRecord other) {
    if (boot != other.boot) {
      return boot > other.boot;
    }
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    return state.compareTo(other.state) > 0;
  }

  /** A record of the same incarnation in another state. */
  MemberRecord withState(MemberState newState, String newSuspectedBy) {
    return new MemberRecord(name, address, zone, boot, incarnation, newState, newSuspectedBy);
  }

  /** Whether both records are of the same run of the process, in the same incarnation. */
  boolean isSameIncarnation(MemberRecord other) {
    return boot == other.boot && incarnation == other.incarnation;
  }

  /** An upper bound of the bytes that this record takes in a datagram. */
  int size() {
    return FIXED_BYTES + name.length() + address.length() + zone.length() + suspectedBy.length();
  }
}
