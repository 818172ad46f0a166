package dillcross.membership;

/** One probe in progress: this member's own, or one relayed on behalf of another member. */
final class Probe {
  private static final long NEVER = Long.MAX_VALUE;

  private final MemberRecord target;
  private final String requester; // null for an own probe
  private final long requesterSequence;
  private final long deadlineUs;
  private final long indirectAtUs;
  private boolean isIndirect;
  private int helperCount;
  private int nackCount;

  private Probe(
      MemberRecord target,
      String requester,
      long requesterSequence,
      long indirectAtUs,
      long deadlineUs) {
    this.target = target;
    this.requester = requester;
    this.requesterSequence = requesterSequence;
    this.indirectAtUs = indirectAtUs;
    this.deadlineUs = deadlineUs;
  }

  /**
   * A probe of this member's own.
   *
   * @param indirectAtUs when helpers are asked, in microseconds
   * @param deadlineUs when it has failed, in microseconds
   */
  static Probe own(MemberRecord target, long indirectAtUs, long deadlineUs) {
    return new Probe(target, null, 0, indirectAtUs, deadlineUs);
  }

  /** A probe that the sender of a {@code PING_REQUEST} asked for. */
  static Probe relayed(Packet request, long deadlineUs) {
    return new Probe(
        request.about(), request.sender().address(), request.sequence(), NEVER, deadlineUs);
  }

  MemberRecord target() {
    return target;
  }

  boolean isOwn() {
    return requester == null;
  }

  /** The address of the member that asked for it; null for an own probe. */
  String requester() {
    return requester;
  }

  /** Its sequence number at the requester. */
  long requesterSequence() {
    return requesterSequence;
  }

  /** Whether helpers were asked. */
  boolean isIndirect() {
    return isIndirect;
  }

  /** Whether helpers are to be asked now. */
  boolean isIndirectDue(long nowUs) {
    return isOwn() && !isIndirect && nowUs >= indirectAtUs;
  }

  /** Helpers were asked. */
  void onIndirect(int helpers) {
    isIndirect = true;
    helperCount = helpers;
  }

  /** A helper got no answer from the target. */
  void onNack() {
    nackCount++;
  }

  /** Whether it has failed for lack of an answer. */
  boolean isExpired(long nowUs) {
    return nowUs >= deadlineUs;
  }

  /** When it next needs attention, in microseconds. */
  long nextDueUs() {
    return isIndirect ? deadlineUs : Math.min(indirectAtUs, deadlineUs);
  }

  /**
   * By how much its failure worsens the local health. A healthy helper answers with ACK or NACK, so
   * each silent helper suggests that the fault lies with this process.
   */
  int healthPenalty() {
    return helperCount == 0 ? 1 : Math.max(0, helperCount - nackCount);
  }
}
