package dillcross.membership;

/**
 * The state of a member. Of two records of one incarnation, the one whose state comes later in this
 * order supersedes the other.
 */
public enum MemberState {
  /** It answers probes, as far as is known. */
  ALIVE,
  /** A probe of it failed; it may refute the suspicion until that times out. */
  SUSPECT,
  /** It did not refute a suspicion in time. */
  DEAD,
  /** It announced that it shuts down. */
  LEFT;

  /** Whether it is a member as far as is known: alive or suspect. */
  public boolean isLive() {
    return this == ALIVE || this == SUSPECT;
  }
}
