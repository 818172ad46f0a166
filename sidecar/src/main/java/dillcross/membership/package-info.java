/**
 * Group membership among sidecars: SWIM's failure detector and gossip with Lifeguard's local
 * health. {@link dillcross.membership.Membership} is the facade; it takes packets and the time, and
 * packets to send are taken from it. The package performs no I/O, reads no clock and starts no
 * thread; an instance belongs to one thread. It knows nothing of other packages: encoding and
 * sockets are in {@code dillcross.net.membership}, settings in {@code dillcross.config}.
 */
package dillcross.membership;
