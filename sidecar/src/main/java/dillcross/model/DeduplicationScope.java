package dillcross.model;

/** Which endpoints recognise an idempotency key that another endpoint has seen. */
public enum DeduplicationScope {
  /** All endpoints. */
  ALL,
  /** The endpoints in the zone of the endpoint that saw the key first. */
  ZONE,
  /** The endpoints in the cell of the endpoint that saw the key first; see {@link Endpoint}. */
  CELL
}
