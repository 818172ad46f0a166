package dillcross.model;

/**
 * What further attempts of a request are allowed.
 *
 * @param maxAttempts per request, the first included
 * @param hedgingAllowed whether two may be in flight together
 * @param cancellable whether one in flight can be cancelled
 */
public record RetryPolicy(int maxAttempts, boolean hedgingAllowed, boolean cancellable) {}
