package dillcross.model;

/**
 * A fresh endpoint starts at {@code startShare} of its capacity, is warm after {@code warmUpUs}, and falls over
 * when all sidecars together send more than {@code multiple} times its present capacity for {@code windowUs}.
 */
public record ColdRule(double startShare, long warmUpUs, double multiple, long windowUs) {
}
