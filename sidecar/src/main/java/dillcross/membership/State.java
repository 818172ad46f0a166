package dillcross.membership;

/** What is held of a member; of two claims for one incarnation the later word here holds. */
public enum State {
  ALIVE,
  SUSPECT,
  DEAD,
  LEFT;

  /** It takes part, as far as is known. */
  public boolean live() {
    return this == ALIVE || this == SUSPECT;
  }
}
