package dillcross.model;

/** Whether a request may be executed more than once. */
public enum Idempotency {
  /** Executing it again does no harm. */
  IDEMPOTENT,
  /** Endpoints within a scope recognise its idempotency key for a while and execute it once. */
  IDEMPOTENT_WITH_KEY,
  /** It must not be executed a second time. */
  NON_IDEMPOTENT
}
