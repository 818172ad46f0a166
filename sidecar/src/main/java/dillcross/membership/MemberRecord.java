package dillcross.membership;

/**
 * One member's state as it is gossiped. Of two records of a name the one with the greater boot
 * holds, then the one with the greater incarnation, then the one with the later state.
 *
 * @param name unique within the fleet
 * @param address numeric address and port where it receives datagrams
 * @param zone where it runs; empty for none
 * @param boot identifies one run of the process: microseconds since 1970 at its start, raised where
 *     the wall clock went back
 * @param incarnation raised by the member itself alone, to refute a suspicion of it
 * @param state what is claimed of it
 * @param suspectedBy the name of the member that suspects it; empty unless it is suspect
 */
public record MemberRecord(
    String name,
    String address,
    String zone,
    long boot,
    long incarnation,
    MemberState state,
    String suspectedBy) {
  /** {@code suspectedBy} of a member that is not suspect. */
  static final String NOT_SUSPECTED = "";

  // An upper bound of the encoding of the two numbers, the state and the framing.
  private static final int FIXED_BYTES = 32;

  /** Whether it replaces the other record of the same name. */
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

  /** Whether both are about the same run of the process in the same incarnation. */
  boolean isSameIncarnation(MemberRecord other) {
    return boot == other.boot && incarnation == other.incarnation;
  }

  /** An upper bound of its bytes in a datagram. */
  int size() {
    return FIXED_BYTES + name.length() + address.length() + zone.length() + suspectedBy.length();
  }
}
