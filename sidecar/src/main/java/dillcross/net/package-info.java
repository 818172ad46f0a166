/**
 * Assembles the network code of a sidecar and runs its event loop on the one selector thread; other
 * threads hand changes over through one queue. Reads no configuration, and makes no decision about
 * requests.
 */
package dillcross.net;
