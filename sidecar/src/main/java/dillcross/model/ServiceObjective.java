package dillcross.model;

/**
 * The objective beside priority weights: few requests may miss their latency objective.
 *
 * @param tailWeight weight of that objective; 0 where there is none
 * @param tailSlack share of the requests of a class that may miss, over a few seconds, 0 to 1
 */
public record ServiceObjective(double tailWeight, double tailSlack) {}
