package dillcross.balancer;

import dillcross.model.DiscoveryPolicy;

/**
 * Whether an endpoint that the list removes without draining it is used on. A list can be wrong,
 * and the endpoint's own answers say whether it is there: it stays until it refuses or resets.
 * Guards against lists that shrink or go back; costs one attempt for each sidecar where a machine
 * dies as it leaves the list.
 */
final class RemovalGrace {
  private static final long MAX_RETENTION_US = 60_000_000; // after removal and last answer

  private DiscoveryPolicy policy;

  void configure(DiscoveryPolicy newPolicy) {
    policy = newPolicy;
  }

  /** Whether the endpoint, removed now, is used on. */
  boolean retains(EndpointState endpoint) {
    return policy.keepRemoved() && endpoint.isListed();
  }

  boolean isExpired(EndpointState endpoint, long nowUs) {
    long sinceUs = Math.max(endpoint.removedUs(), endpoint.lastSuccessUs());
    return endpoint.removedUs() != 0 && nowUs - sinceUs >= MAX_RETENTION_US;
  }
}
