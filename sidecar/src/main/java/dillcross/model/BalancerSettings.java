package dillcross.model;

import java.util.List;

/**
 * Everything that the configuration says to the load balancer.
 *
 * @param zone the sidecar's own zone
 * @param instanceIndex the sidecar's number among all sidecars, from 0
 * @param instanceCount how many sidecars share the endpoints; below 1 counts as 1
 * @param requestClasses every class of requests that clients may name
 * @param tenants those with a quota
 * @param slowStart what a fresh endpoint bears
 * @param retry what further attempts are allowed
 * @param weightPerWork whether priority weights count per unit of work and not per request
 * @param discovery how the endpoint list is learned
 * @param maxRetryAfterUs the longest Retry-After that may be given, in microseconds; 0 for none
 * @param crossZonePrice what a request that leaves its zone costs, compared with its priority
 *     weight
 * @param objective the objective beside priority weights
 */
public record BalancerSettings(
    String zone,
    int instanceIndex,
    int instanceCount,
    List<RequestClass> requestClasses,
    List<Tenant> tenants,
    SlowStartPolicy slowStart,
    RetryPolicy retry,
    boolean weightPerWork,
    DiscoveryPolicy discovery,
    long maxRetryAfterUs,
    double crossZonePrice,
    ServiceObjective objective) {
  /** Counts at least this sidecar. */
  public BalancerSettings {
    instanceCount = Math.max(1, instanceCount);
  }
}
