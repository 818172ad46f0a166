/**
 * Reads endpoint lists from the JSON of the discovery service and of the configuration file into
 * the typed entries of {@link dillcross.sidecar}. Stateless and usable from any thread. The package
 * depends neither on the network nor on the configuration, because both read lists through it.
 */
package dillcross.endpointlist;
