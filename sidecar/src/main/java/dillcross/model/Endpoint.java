package dillcross.model;

/**
 * An endpoint as the endpoint list describes it.
 *
 * @param id who it is, whatever its address
 * @param health what the list says of it
 * @param startedUs when its process started, in microseconds of the caller's clock; 0 for long ago
 * @param cell its failure domain within the fleet
 * @param zone where it runs
 * @param weight its size compared with others; may fall with load, see {@link DiscoveryPolicy}
 */
public record Endpoint(
    String id, Health health, long startedUs, int cell, String zone, double weight) {
  /** What the endpoint list says of an endpoint. */
  public enum Health {
    /** It takes requests. */
    UP,
    /** It shuts down gracefully: nothing new may be sent to it. */
    DRAINING,
    /** It is not there any more. */
    REMOVED
  }
}
