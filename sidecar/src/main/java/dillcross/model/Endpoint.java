package dillcross.model;

/**
 * An endpoint as discovery describes it. Immutable.
 *
 * @param id identifies it, independent of its address
 * @param health its state as discovery reports it
 * @param startedUs when its process started, in microseconds of the caller's clock; 0 where that is
 *     unknown or long ago
 * @param cell its failure domain within the fleet
 * @param zone where it runs
 * @param weight its capacity relative to other endpoints; it may follow the load, see {@link
 *     DiscoveryPolicy}
 */
public record Endpoint(
    String id, Health health, long startedUs, int cell, String zone, double weight) {
  /** The state of an endpoint as discovery reports it. */
  public enum Health {
    /** It accepts requests. */
    UP,
    /** It shuts down gracefully: nothing new may be sent to it. */
    DRAINING,
    /** It is no longer listed. */
    REMOVED
  }
}
