/**
 * Attempts, and the pool of connections to endpoints. Belongs to the selector thread. The package
 * never retries: each attempt is written at most once and its end reported once, and the load
 * balancer decides about retries.
 */
package dillcross.net.endpoint;
