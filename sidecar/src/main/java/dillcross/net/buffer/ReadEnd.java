package dillcross.net.buffer;

/** Why a read of all that has arrived has ended. */
public enum ReadEnd {
  /** All bytes that had arrived were read, and more may follow. */
  NOTHING_LEFT,

  /** There was no space for more; whether more had arrived is not known. */
  NO_SPACE,

  /** The stream has ended. */
  END_OF_STREAM
}
