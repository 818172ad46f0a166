package dillcross.model;

/** One kind of op. Times in microseconds; {@code lateShare} of the benefit is paid between target latency and TTL. */
public record Category(String name, Effect effect, Group group, long windowUs, long targetUs, long ttlUs,
        double benefit, double lateShare, boolean streamed) {
}
