/**
 * Sends and receives the datagrams of the membership protocol, and encodes its packets. Belongs to
 * the selector thread. The protocol itself is in {@link dillcross.membership}, which has no I/O.
 */
package dillcross.net.membership;
