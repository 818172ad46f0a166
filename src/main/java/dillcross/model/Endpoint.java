package dillcross.model;

/**
 * An endpoint as the list names it. {@code startedUs} is 0 for long ago; {@code size} compares it with the others, and
 * those of one {@code machine} kind are alike.
 */
public record Endpoint(String id, Health health, long startedUs, int cell, String zone, String machine, double size) {
    /** What the list knows of it. */
    public enum Health { UP, DRAINING, GONE }
}
