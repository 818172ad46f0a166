package dillcross.model;

/**
 * The objective for tail latency: few requests of a class may miss its latency objective.
 *
 * @param tailWeight its weight relative to priority weights; 0 for no such objective
 * @param tailSlack share of the requests of a class that may miss it, over a few seconds, 0 to 1
 */
public record ServiceObjective(double tailWeight, double tailSlack) {}
