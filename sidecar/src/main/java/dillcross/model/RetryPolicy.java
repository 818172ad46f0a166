package dillcross.model;

/**
 * The limits on the attempts of one request.
 *
 * @param maxAttempts the most attempts per request, the first included; at least 1
 * @param hedgingAllowed whether two attempts of a request may be in flight at the same time
 * @param cancellable whether an attempt in flight can be cancelled
 */
public record RetryPolicy(int maxAttempts, boolean hedgingAllowed, boolean cancellable) {}
