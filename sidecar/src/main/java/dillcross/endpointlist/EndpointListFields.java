package dillcross.endpointlist;

/** The protocol's names in the JSON of an endpoint list, each with the term that the code uses. */
final class EndpointListFields {
  /** The entries of the list. */
  static final String ENTRIES = "servers";

  /** Whether the list is complete; false where it holds changes only. */
  static final String IS_COMPLETE = "full";

  /** The list's version. */
  static final String VERSION = "version";

  /** An endpoint's id. */
  static final String ID = "id";

  /** An endpoint's health; one of the {@code HEALTH_} values, any other means removed. */
  static final String HEALTH = "state";

  /** The health of an endpoint that takes requests: up. */
  static final String HEALTH_UP = "in_service";

  /** The health of an endpoint that shuts down gracefully: draining. */
  static final String HEALTH_DRAINING = "terminating";

  /** When an endpoint's process started, in milliseconds. */
  static final String STARTED_MS = "started_ms";

  /** An endpoint's weight, above 0. */
  static final String WEIGHT = "weight";

  /** The number of an endpoint's cell. */
  static final String CELL = "cell";

  /** An endpoint's zone. */
  static final String ZONE = "zone";

  /** An endpoint's numeric address and port. */
  static final String ADDRESS = "addr";

  private EndpointListFields() {}
}
