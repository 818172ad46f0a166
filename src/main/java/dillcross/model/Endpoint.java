package dillcross.model;

/** An endpoint as the list names it. {@code startedUs} is 0 for long ago. */
public record Endpoint(String id, Health health, long startedUs, int cell, String zone) {
    /** What the list knows of it. */
    public enum Health { UP, DRAINING, GONE }
}
