package dillcross.model;

/**
 * How the endpoint list is obtained and interpreted.
 *
 * @param pollRequired whether the sidecar has to request the endpoint list; otherwise the list is
 *     pushed
 * @param pollWithinUs how long a sidecar may go without a watch or poll, in microseconds; a sidecar
 *     that exceeds this time counts as notified of every change
 * @param keepRemoved whether an endpoint that disappears without draining may still be used
 * @param dynamicWeights whether an endpoint's weight follows its load; otherwise the weight is the
 *     endpoint's capacity
 */
public record DiscoveryPolicy(
    boolean pollRequired, long pollWithinUs, boolean keepRemoved, boolean dynamicWeights) {}
