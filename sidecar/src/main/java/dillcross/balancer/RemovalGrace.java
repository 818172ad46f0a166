package dillcross.balancer;

import dillcross.model.DiscoveryPolicy;

/**
 * Decides whether an endpoint stays in use that discovery removed without draining it. Endpoint
 * lists can be wrong, in part or whole. If the settings allow it, a removed endpoint therefore
 * stays in use until it refuses or resets a connection, or has not answered successfully for a
 * while.
 *
 * <p>The cost is one failed attempt per sidecar if a removed endpoint is really gone.
 */
final class RemovalGrace {
  // Counts from the removal or the last success, whichever is later.
  private static final long MAX_RETENTION_US = 60_000_000;

  private DiscoveryPolicy policy;

  void configure(DiscoveryPolicy newPolicy) {
    policy = newPolicy;
  }

  /** Whether the endpoint stays in use if it is removed from the endpoint list now. */
  boolean retains(EndpointState endpoint) {
    return policy.keepRemoved() && endpoint.isListed();
  }

  /**
   * Whether the grace period has passed since the endpoint's removal and since its last success.
   */
  boolean isExpired(EndpointState endpoint, long nowUs) {
    long sinceUs = Math.max(endpoint.removedUs(), endpoint.lastSuccessUs());
    return endpoint.removedUs() != 0 && nowUs - sinceUs >= MAX_RETENTION_US;
  }
}
