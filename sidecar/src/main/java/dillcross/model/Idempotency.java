package dillcross.model;

/** What running a request a second time would do. */
public enum Idempotency {
  /** Running it again does no harm. */
  IDEMPOTENT,
  /** It carries an idempotency key, which endpoints within a scope recognise for a while. */
  IDEMPOTENT_WITH_KEY,
  /** It may never run a second time. */
  NON_IDEMPOTENT
}
