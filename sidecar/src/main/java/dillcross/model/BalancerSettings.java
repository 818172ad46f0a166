package dillcross.model;

import java.util.List;

/**
 * The load balancer's part of the configuration. Immutable, without null.
 *
 * @param zone the sidecar's own zone; empty where it has none
 * @param instanceIndex the sidecar's number among all sidecars, from 0
 * @param instanceCount how many sidecars share the endpoints; below 1 counts as 1
 * @param requestClasses every class of requests that clients may name
 * @param tenants tenants that have a quota
 * @param slowStart how much load a freshly started endpoint takes
 * @param retry how many attempts a request may have, and whether in parallel
 * @param weightPerWork whether priority weights count per unit of work; otherwise per request
 * @param discovery how the endpoint list is obtained
 * @param maxRetryAfterUs the longest Retry-After that may be given, in microseconds; 0 for none
 * @param crossZonePrice the cost of a request sent to another zone, in units of the priority weight
 * @param objective the objective for tail latency
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
  /** Raises the number of sidecars to 1. */
  public BalancerSettings {
    instanceCount = Math.max(1, instanceCount);
  }
}
