package dillcross.membership;

/** What is held of a member; of two records of one incarnation the later state here holds. */
public enum MemberState {
  /** It takes part. */
  ALIVE,
  /** Somebody did not get an answer from it; it may refute that. */
  SUSPECT,
  /** It did not refute the suspicion in time. */
  DEAD,
  /** It said good-bye. */
  LEFT;

  /** Whether it takes part, as far as is known. */
  public boolean isLive() {
    return this == ALIVE || this == SUSPECT;
  }
}
