package dillcross.model;

/** Whether a request may be executed more than once. */
public enum Idempotency {
  /** Executing the request again does no harm. */
  IDEMPOTENT,
  /**
   * Endpoints within a {@link DeduplicationScope} recognise the request's idempotency key during
   * the deduplication window, and execute the request once.
   */
  IDEMPOTENT_WITH_KEY,
  /** The request must not be executed a second time. */
  NON_IDEMPOTENT
}
