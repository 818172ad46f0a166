package dillcross.model;

/**
 * How the endpoint list is learned and read.
 *
 * @param pollRequired whether it has to be asked for; otherwise it is pushed
 * @param pollWithinUs a sidecar that has neither watched nor polled for so long, in microseconds,
 *     counts as notified of every change
 * @param keepRemoved whether an endpoint that the list removes without draining it may still be
 *     used
 * @param dynamicWeights whether weights move with load; otherwise they are sizes
 */
public record DiscoveryPolicy(
    boolean pollRequired, long pollWithinUs, boolean keepRemoved, boolean dynamicWeights) {}
