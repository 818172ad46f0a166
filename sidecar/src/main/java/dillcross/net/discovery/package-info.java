/**
 * The watch of the endpoint list at the discovery service. Belongs to the selector thread. It hands
 * typed entries to the coordinator, and knows nothing of requests.
 */
package dillcross.net.discovery;
