/**
 * The watch of the endpoint list at the discovery service. Belongs to the selector thread. The
 * package passes parsed entries to the coordinator, and does not depend on requests.
 */
package dillcross.net.discovery;
