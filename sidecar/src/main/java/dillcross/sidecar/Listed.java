package dillcross.sidecar;

import dillcross.model.Endpoint;

/** An endpoint of the list and where to connect to it; the id is who it is, the address may change. */
public record Listed(Endpoint endpoint, String address) {
}
