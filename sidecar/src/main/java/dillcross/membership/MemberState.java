package dillcross.membership;

/**
 * The state of a member. Of two records of one incarnation, the one whose state comes later in this
 * order supersedes the other.
 */
public enum MemberState {
  /** The member answers probes, or was not probed yet. */
  ALIVE,
  /** A probe of the member failed; it can refute the suspicion until that times out. */
  SUSPECT,
  /** The member did not refute a suspicion in time. */
  DEAD,
  /** The member announced that it shuts down. */
  LEFT;

  /** Whether a member in this state still counts as live: alive or suspect. */
  public boolean isLive() {
    return this == ALIVE || this == SUSPECT;
  }
}
