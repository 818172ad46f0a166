package dillcross.model;

/**
 * What holds for the list of endpoints. Where {@code mustAsk} it tells nothing unasked, and who has neither watched nor asked
 * for {@code askWithinUs} counts as told. Where {@code goneStays} an endpoint that it names as gone, or leaves out, may still be
 * pushed to unless it drained. Where {@code live} its weights move with load.
 */
public record ListRule(boolean mustAsk, long askWithinUs, boolean goneStays, boolean live) {
}
