/**
 * One HTTP/1.1 connection, and the relay of large bodies between two connections. Belongs to the
 * selector thread. The package depends neither on the coordinator nor on the meaning of an
 * exchange.
 */
package dillcross.net.connection;
