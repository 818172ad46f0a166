package dillcross.model;

/**
 * How much load a freshly started endpoint takes. It fails if all sidecars together send more than
 * {@code overloadMultiple} times its present capacity during {@code windowUs}.
 *
 * @param initialCapacityShare its share of full capacity at its start, 0 to 1
 * @param warmUpUs time to full capacity, in microseconds
 * @param overloadMultiple the multiple of its present capacity that makes it fail
 * @param windowUs the time over which requests are counted, in microseconds
 */
public record SlowStartPolicy(
    double initialCapacityShare, long warmUpUs, double overloadMultiple, long windowUs) {}
