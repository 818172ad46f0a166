package dillcross.sidecar;

/**
 * How much of an attempt's request was written to its connection: an endpoint can have executed
 * only a request that was fully written.
 */
public enum WriteProgress {
  /** Nothing was written. */
  NOT_CONNECTED,
  /** A part of the request was handed to the network. */
  PARTIALLY_WRITTEN,
  /** All of the request was handed to the network. */
  FULLY_WRITTEN
}
