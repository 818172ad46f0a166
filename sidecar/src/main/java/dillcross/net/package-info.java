/**
 * Assembles the network code of a sidecar and runs its event loop on the one selector thread; other
 * threads submit changes through one queue. The package reads no configuration, and makes no
 * decisions about requests.
 */
package dillcross.net;
