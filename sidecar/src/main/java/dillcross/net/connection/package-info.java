/**
 * One HTTP/1.1 connection, and the relay of large bodies between two connections. Belongs to the
 * selector thread. It knows neither the coordinator nor what an exchange is for.
 */
package dillcross.net.connection;
