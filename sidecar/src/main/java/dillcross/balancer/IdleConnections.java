package dillcross.balancer;

import dillcross.model.Decision;
import java.util.Queue;

/**
 * Decides when idle connections to an endpoint are closed: once it is outside this sidecar's subset
 * and no attempt has been sent to it for a while. Otherwise hundreds of sidecars would fill the
 * endpoint's connection table with connections that each of them used once.
 */
final class IdleConnections {
  private static final long UNUSED_US = 2_000_000;

  private final EndpointDirectory directory;
  private final EndpointSets endpoints;
  private final Queue<Decision> decisions;

  IdleConnections(EndpointDirectory directory, EndpointSets endpoints, Queue<Decision> decisions) {
    this.directory = directory;
    this.endpoints = endpoints;
    this.decisions = decisions;
  }

  /** Releases the idle connections to endpoints that are no longer in use at {@code nowUs}. */
  void releaseUnused(long nowUs) {
    for (EndpointState endpoint : directory.all()) {
      boolean isIdle = endpoint.lastAttemptUs() > 0 && endpoint.inFlightCount() == 0;
      if (isIdle && nowUs - endpoint.lastAttemptUs() > UNUSED_US && !endpoints.isInUse(endpoint)) {
        endpoint.recordConnectionsReleased();
        decisions.add(new Decision.ReleaseConnections(endpoint.id()));
      }
    }
  }
}
