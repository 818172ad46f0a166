package dillcross.model;

/** Which endpoints recognise a repeated idempotency key. */
public enum DeduplicationScope {
  /** All endpoints. */
  ALL,
  /** Those in the zone of the endpoint that saw it first. */
  ZONE,
  /** Those in the cell of the endpoint that saw it first. */
  CELL
}
