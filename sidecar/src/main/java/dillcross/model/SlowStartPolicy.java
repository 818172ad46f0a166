package dillcross.model;

/**
 * How much a fresh endpoint bears. It fails when all sidecars together send more than its present
 * capacity times {@code overloadMultiple} for {@code windowUs}.
 *
 * @param initialCapacityShare its share of full capacity at its start, 0 to 1
 * @param warmUpUs time to full capacity, in microseconds
 * @param overloadMultiple of the present capacity that brings it down
 * @param windowUs over which requests are counted, in microseconds
 */
public record SlowStartPolicy(
    double initialCapacityShare, long warmUpUs, double overloadMultiple, long windowUs) {}
