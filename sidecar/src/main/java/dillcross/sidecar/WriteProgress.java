package dillcross.sidecar;

/** How far an attempt came on its connection: only one that was fully written can have run. */
public enum WriteProgress {
  /** Nothing was written. */
  NOT_CONNECTED,
  /** A part of the request was handed to the network. */
  PARTIALLY_WRITTEN,
  /** All of the request was handed to the network. */
  FULLY_WRITTEN
}
