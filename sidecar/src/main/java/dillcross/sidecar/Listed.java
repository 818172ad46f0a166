package dillcross.sidecar;

import dillcross.model.Endpoint;

/** An endpoint of the list and where to connect to it; the id is who it is, the address may change. */
public record Listed(Endpoint endpoint, String address) {
    /** Whether that is the same process, at the same place; false where it is not listed any more. */
    boolean isStill(Listed now) {
        return now != null && now.address.equals(address) && now.endpoint.startedUs() == endpoint.startedUs();
    }
}
