package dillcross.sidecar;

import dillcross.model.BalancerSettings;

/**
 * The settings that a reload can change while the sidecar runs.
 *
 * @param balancer the settings of the load balancer
 * @param maxTimeoutUs the largest timeout of any request class, in microseconds
 * @param connectTimeoutUs the timeout of a connect to an endpoint, in microseconds
 * @param keepAliveUs how long an endpoint keeps an idle connection, in microseconds
 */
public record SidecarSettings(
    BalancerSettings balancer, long maxTimeoutUs, long connectTimeoutUs, long keepAliveUs) {}
