package dillcross.model;

/**
 * How the endpoint list is obtained and interpreted.
 *
 * @param pollRequired whether the sidecar has to request it; otherwise it is pushed
 * @param pollWithinUs time without watch or poll, in microseconds, after which a sidecar counts as
 *     notified of every change
 * @param keepRemoved whether an endpoint that disappears without draining may still be used
 * @param dynamicWeights whether an endpoint's weight follows its load; otherwise it is its capacity
 */
public record DiscoveryPolicy(
    boolean pollRequired, long pollWithinUs, boolean keepRemoved, boolean dynamicWeights) {}
