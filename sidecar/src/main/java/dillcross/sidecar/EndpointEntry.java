package dillcross.sidecar;

import dillcross.model.Endpoint;

/**
 * An endpoint of the endpoint list and where to connect to it. The id identifies the endpoint; the
 * address may change.
 *
 * @param address a numeric address and a port; empty where the list gives none
 */
public record EndpointEntry(Endpoint endpoint, String address) {
  /** The same endpoint, draining: no new request may be sent to it. */
  EndpointEntry draining() {
    return new EndpointEntry(endpoint.withHealth(Endpoint.Health.DRAINING), address);
  }

  /**
   * Whether {@code current} is the same process at the same address as this entry; false where
   * {@code current} is null.
   */
  boolean isSameProcess(EndpointEntry current) {
    return current != null
        && current.address.equals(address)
        && current.endpoint.startedUs() == endpoint.startedUs();
  }
}
