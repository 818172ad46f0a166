/**
 * The coordinator of one sidecar: keeps requests, attempts, timers and the endpoint list, turns
 * what the network reports into calls of the load balancer, and its decisions into commands.
 * Belongs to the selector thread. It has no I/O and no clock, and knows neither the network nor
 * JSON.
 */
package dillcross.sidecar;
