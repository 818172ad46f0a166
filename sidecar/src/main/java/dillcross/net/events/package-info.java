/**
 * What happened to requests, attempts and connections: counters, and a bounded number of log lines.
 * Belongs to the selector thread. The package depends on no other.
 */
package dillcross.net.events;
