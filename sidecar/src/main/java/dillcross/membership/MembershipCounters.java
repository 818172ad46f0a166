package dillcross.membership;

/** What a membership has counted since its start. */
public final class MembershipCounters {
  long sent;
  long bytes;
  long received;
  long probes;
  long unanswered;
  long suspicions;
  long deaths;
  long refutations;
  long pauses;
  long collisions;
  long refusedMembers;
  long suppressedReplies;

  MembershipCounters() {}

  /** Packets sent. */
  public long sent() {
    return sent;
  }

  /** Bytes sent. */
  public long bytes() {
    return bytes;
  }

  /** Packets received. */
  public long received() {
    return received;
  }

  /** Probes of our own. */
  public long probes() {
    return probes;
  }

  /** Probes of our own that got no answer. */
  public long unanswered() {
    return unanswered;
  }

  /** Members that we came to suspect. */
  public long suspicions() {
    return suspicions;
  }

  /** Deaths that were found here. */
  public long deaths() {
    return deaths;
  }

  /** Times that we refuted what was said of us. */
  public long refutations() {
    return refutations;
  }

  /** Times that we found ourselves paused. */
  public long pauses() {
    return pauses;
  }

  /** Times that another process had our name. */
  public long collisions() {
    return collisions;
  }

  /** Members that found no space. */
  public long refusedMembers() {
    return refusedMembers;
  }

  /** Replies that were not given, for want of bytes. */
  public long suppressedReplies() {
    return suppressedReplies;
  }
}
