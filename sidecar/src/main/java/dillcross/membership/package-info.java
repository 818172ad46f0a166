/**
 * Group membership among sidecars: SWIM's failure detector and gossip with Lifeguard's local
 * health. {@link dillcross.membership.Membership} is the facade: the caller passes packets and the
 * time in, and takes packets to send out. The package performs no I/O, reads no clock and starts no
 * thread; an instance belongs to one thread. It depends on no other package of this program:
 * encoding and sockets are in {@code dillcross.net.membership}, settings in {@code
 * dillcross.config}.
 */
package dillcross.membership;
