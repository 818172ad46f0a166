package dillcross.endpointlist;

/**
 * The names of fields and values in the JSON of an endpoint list, each with the term that the code
 * uses.
 */
final class EndpointListFields {
  /** The entries of the list. */
  static final String ENTRIES = "servers";

  /** Whether the list is complete; false if it holds changes only. True where absent. */
  static final String IS_COMPLETE = "full";

  /** The list's version, a number; 0 where absent. */
  static final String VERSION = "version";

  /** An endpoint's id, without which a list is malformed. */
  static final String ID = "id";

  /** An endpoint's health: one of the {@code HEALTH_} values; any other means removed. */
  static final String HEALTH = "state";

  /** The health of an endpoint that takes requests: up. */
  static final String HEALTH_UP = "in_service";

  /** The health of an endpoint that shuts down gracefully: draining. */
  static final String HEALTH_DRAINING = "terminating";

  /** When an endpoint's process started, in milliseconds; 0 where absent. */
  static final String STARTED_MS = "started_ms";

  /** An endpoint's weight; 1 where absent or not above 0. */
  static final String WEIGHT = "weight";

  /** The number of an endpoint's cell, its failure domain; 0 where absent. */
  static final String CELL = "cell";

  /** An endpoint's zone; empty where absent. */
  static final String ZONE = "zone";

  /** An endpoint's numeric address and port; empty where absent. */
  static final String ADDRESS = "addr";

  private EndpointListFields() {}
}
