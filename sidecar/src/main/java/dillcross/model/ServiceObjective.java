package dillcross.model;

/**
 * The objective for tail latency: few requests of a class may miss its latency objective.
 *
 * @param tailWeight the objective's weight relative to priority weights; 0 for no objective
 * @param tailSlack the share of a class's requests, over a few seconds, that may miss the latency
 *     objective, 0 to 1
 */
public record ServiceObjective(double tailWeight, double tailSlack) {}
