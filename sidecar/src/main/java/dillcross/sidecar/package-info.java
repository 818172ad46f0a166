/**
 * The coordinator of one sidecar: keeps requests, attempts, timers and the endpoint list, turns the
 * network's events into calls of the load balancer, and the load balancer's decisions into commands
 * for the network. All of it runs on the selector thread. The package has no I/O and no clock, and
 * depends neither on the network packages nor on JSON.
 */
package dillcross.sidecar;
