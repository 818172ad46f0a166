package dillcross.model;

import java.util.List;

/**
 * The load balancer's part of the configuration. Immutable; no component is null.
 *
 * @param zone the sidecar's own zone; empty if it has none
 * @param instanceIndex the sidecar's number among all sidecars, from 0
 * @param instanceCount how many sidecars share the endpoints; a number below 1 counts as 1
 * @param requestClasses all request classes that clients may name
 * @param tenants the tenants, each with its quota
 * @param slowStart how much load a freshly started endpoint can take
 * @param retry how many attempts a request may have, and whether they may run in parallel
 * @param weightPerWork whether a priority weight is the value per unit of work; otherwise it is the
 *     value per request
 * @param discovery how the endpoint list is obtained
 * @param maxRetryAfterUs the longest Retry-After that may be given, in microseconds; 0 to give none
 * @param crossZonePrice the cost of a request sent to another zone, in units of the priority weight
 * @param objective the objective for tail latency, which applies to every request class
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
  /** Raises an {@code instanceCount} below 1 to 1. */
  public BalancerSettings {
    instanceCount = Math.max(1, instanceCount);
  }
}
