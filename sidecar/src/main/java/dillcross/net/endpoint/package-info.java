/**
 * Attempts, and the pool of connections to endpoints. Belongs to the selector thread. It never
 * retries: each attempt is written once and reported once, and the load balancer decides the rest.
 */
package dillcross.net.endpoint;
