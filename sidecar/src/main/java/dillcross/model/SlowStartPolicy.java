package dillcross.model;

/**
 * How much load a freshly started endpoint can take. The endpoint fails if all sidecars together
 * send more than {@code overloadMultiple} times its present capacity during {@code windowUs}.
 *
 * @param initialCapacityShare the share of its full capacity that the endpoint has at its start, 0
 *     to 1
 * @param warmUpUs the time from the start to full capacity, in microseconds
 * @param overloadMultiple the multiple of its present capacity above which the endpoint fails
 * @param windowUs the time over which requests are counted, in microseconds
 */
public record SlowStartPolicy(
    double initialCapacityShare, long warmUpUs, double overloadMultiple, long windowUs) {}
