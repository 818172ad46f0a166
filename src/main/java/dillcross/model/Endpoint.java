package dillcross.model;

/** An endpoint as the list names it. {@code startedUs} is 0 for long ago; {@code size} only compares endpoints. */
public record Endpoint(String id, Health health, long startedUs, double size, int cell, String zone) {
    /** What the list knows of it. */
    public enum Health { UP, DRAINING, GONE }
}
