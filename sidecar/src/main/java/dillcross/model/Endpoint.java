package dillcross.model;

/**
 * An endpoint as discovery describes it. Immutable.
 *
 * @param id identifies the endpoint, independent of its address
 * @param health the endpoint's state as discovery reports it
 * @param startedUs when the endpoint's process started, in microseconds of the caller's clock; 0 if
 *     the start is unknown or long ago
 * @param cell the endpoint's failure domain within the fleet
 * @param zone the zone in which the endpoint runs
 * @param weight the endpoint's capacity relative to other endpoints; the weight may follow the
 *     load, see {@link DiscoveryPolicy}
 */
public record Endpoint(
    String id, Health health, long startedUs, int cell, String zone, double weight) {
  /** The same endpoint in another state. */
  public Endpoint withHealth(Health newHealth) {
    return new Endpoint(id, newHealth, startedUs, cell, zone, weight);
  }

  /** The state of an endpoint as discovery reports it. */
  public enum Health {
    /** The endpoint accepts requests. */
    UP,
    /** The endpoint shuts down gracefully: no new request may be sent to it. */
    DRAINING,
    /** The endpoint list no longer names the endpoint. */
    REMOVED
  }
}
