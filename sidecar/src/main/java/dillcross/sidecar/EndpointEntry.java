package dillcross.sidecar;

import dillcross.model.Endpoint;

/**
 * An endpoint of the endpoint list and where to connect to it. The id is who it is; the address may
 * change.
 *
 * @param address a numeric address and a port
 */
public record EndpointEntry(Endpoint endpoint, String address) {
  /** Whether {@code current} is the same process at the same address; false where it is null. */
  boolean isSameProcess(EndpointEntry current) {
    return current != null
        && current.address.equals(address)
        && current.endpoint.startedUs() == endpoint.startedUs();
  }
}
