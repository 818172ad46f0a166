package dillcross.membership;

/** A probe of our own, or one that we make for another. Plain state. */
final class Probe {
  final MemberRecord target;

  /** Who asked for it; null where it is our own. */
  final String requester;

  /** Its sequence number at the requester. */
  final long requesterSequence;

  /** When helpers are asked. */
  long indirectUs;

  long endUs;
  boolean isIndirect; // helpers were asked
  int helpers;
  int nacks;

  Probe(MemberRecord target, String requester, long requesterSequence) {
    this.target = target;
    this.requester = requester;
    this.requesterSequence = requesterSequence;
  }

  boolean isOwn() {
    return requester == null;
  }

  /** When it next needs attention. */
  long nextDueUs() {
    return isIndirect || !isOwn() ? endUs : Math.min(indirectUs, endUs);
  }
}
