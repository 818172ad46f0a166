/**
 * Reads the endpoint list from JSON, as the discovery service and the configuration word it, into
 * the typed entries of {@link dillcross.sidecar}. Stateless and usable from any thread. It knows
 * neither the network nor the configuration, because both read lists through it.
 */
package dillcross.endpointlist;
