package dillcross.model;

/** How many pushes an op may have, whether two may be out together, and whether one can be called back. */
public record PushRule(int most, boolean copies, boolean cancel) {
}
