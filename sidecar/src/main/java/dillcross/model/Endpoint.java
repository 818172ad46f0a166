package dillcross.model;

/**
 * An endpoint as the list names it. {@code startedUs} is 0 for long ago; {@code weight} compares it with the others: its
 * size, which the settings may say is lowered by what it holds.
 */
public record Endpoint(String id, Health health, long startedUs, int cell, String zone, double weight) {
    /** What the list knows of it. */
    public enum Health { UP, DRAINING, GONE }
}
