package dillcross.sidecar;

import dillcross.model.BalancerSettings;

/**
 * The settings that a running sidecar can take on.
 *
 * @param balancer for the load balancer
 * @param maxTimeoutUs the longest that a client of any request class waits, in microseconds
 * @param connectTimeoutUs for connections to endpoints, in microseconds
 * @param keepAliveUs how long an endpoint keeps an idle connection, in microseconds
 */
public record SidecarSettings(
    BalancerSettings balancer, long maxTimeoutUs, long connectTimeoutUs, long keepAliveUs) {}
