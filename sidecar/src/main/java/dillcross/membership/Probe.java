package dillcross.membership;

/** A probe in progress: started by this member for itself, or relayed for another member. */
final class Probe {
  private static final long NEVER = Long.MAX_VALUE;

  private final MemberRecord target;
  private final String requesterAddress; // null for an own probe
  private final long requesterSequence;
  private final long deadlineUs;
  private final long indirectAtUs; // NEVER for a relayed probe
  private boolean isIndirect;
  private int helperCount;
  private int nackCount;

  private Probe(
      MemberRecord target,
      String requesterAddress,
      long requesterSequence,
      long indirectAtUs,
      long deadlineUs) {
    this.target = target;
    this.requesterAddress = requesterAddress;
    this.requesterSequence = requesterSequence;
    this.indirectAtUs = indirectAtUs;
    this.deadlineUs = deadlineUs;
  }

  /**
   * A probe that this member starts for itself.
   *
   * @param indirectAtUs time at which helpers are asked, in microseconds
   * @param deadlineUs time at which the probe fails without an answer, in microseconds
   */
  static Probe own(MemberRecord target, long indirectAtUs, long deadlineUs) {
    return new Probe(target, null, 0, indirectAtUs, deadlineUs);
  }

  /** A probe relayed for the sender of a {@code PING_REQUEST}; it fails at {@code deadlineUs}. */
  static Probe relayed(Packet request, long deadlineUs) {
    return new Probe(
        request.target(), request.sender().address(), request.sequence(), NEVER, deadlineUs);
  }

  MemberRecord target() {
    return target;
  }

  boolean isOwn() {
    return requesterAddress == null;
  }

  /** The address of the member that asked for this probe; null for an own probe. */
  String requesterAddress() {
    return requesterAddress;
  }

  /** The sequence number that the requester gave this probe; 0 for an own probe. */
  long requesterSequence() {
    return requesterSequence;
  }

  /** Whether helpers were asked to probe the target. */
  boolean isIndirect() {
    return isIndirect;
  }

  /** Whether helpers have to be asked now to probe the target. */
  boolean isIndirectDue(long nowUs) {
    return isOwn() && !isIndirect && nowUs >= indirectAtUs;
  }

  /** Records that this number of helpers was asked; 0 if no other member can help. */
  void onIndirect(int helpers) {
    isIndirect = true;
    helperCount = helpers;
  }

  /** Records that a helper got no answer from the target. */
  void onNack() {
    nackCount++;
  }

  /** Whether this probe has failed, as no answer came before the deadline. */
  boolean isExpired(long nowUs) {
    return nowUs >= deadlineUs;
  }

  /** The time at which helpers have to be asked or this probe fails, in microseconds. */
  long nextDueUs() {
    return isIndirect ? deadlineUs : Math.min(indirectAtUs, deadlineUs);
  }

  /**
   * The amount by which a failure of this probe worsens the local health. A healthy helper answers
   * with ACK or NACK, so each helper without a response suggests a fault of this process.
   */
  int healthPenalty() {
    return helperCount == 0 ? 1 : Math.max(0, helperCount - nackCount);
  }
}
