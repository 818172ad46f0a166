package dillcross.simulator;

/**
 * The words of the simulator's protocol, each with the term that the code uses. A message is one
 * line: its name, then its fields, separated by spaces.
 */
final class WireFormat {
  /** The text that stands for a field without a value. */
  static final String ABSENT = "-";

  // Messages from the simulator

  /** A batch of events begins; the only field is their time, in milliseconds. */
  static final String BATCH_BEGIN = "tick";

  /** A batch of events ends, and the simulator waits for the decisions. */
  static final String BATCH_END = "commit";

  /** An endpoint list, whose rows follow. */
  static final String ENDPOINT_LIST = "snapshot_rows";

  /** One endpoint of an endpoint list. */
  static final String ENDPOINT = "row";

  /** A load balancer is created. */
  static final String CREATE_INSTANCE = "open_instance";

  /** A load balancer is removed. */
  static final String REMOVE_INSTANCE = "shutdown";

  /** A load balancer's endpoint list has changed, or is unavailable. */
  static final String ENDPOINTS_CHANGED = "endpoints";

  /** A request has arrived. */
  static final String REQUEST_ARRIVED = "knock";

  /** An attempt has ended. */
  static final String ATTEMPT_ENDED = "response";

  /** The first bytes of an attempt's response have arrived. */
  static final String RESPONSE_STARTED = "opened";

  /** A client has disconnected. */
  static final String CLIENT_DISCONNECTED = "withdrawn";

  /** A timer is due. */
  static final String TIMER_DUE = "fired";

  /** The result of a health check; ignored. */
  static final String HEALTH_CHECKED = "sampled";

  /** A message of another load balancer; ignored. */
  static final String PEER_MESSAGE = "peer_data";

  // Values of fields in messages from the simulator

  /** The health of an endpoint that takes requests. */
  static final String HEALTH_UP = "up";

  /** The health of an endpoint that shuts down gracefully. */
  static final String HEALTH_DRAINING = "draining";

  /** The endpoint list is unavailable. */
  static final String LIST_UNAVAILABLE = "Error";

  /** The endpoint list holds changes only. */
  static final String LIST_OF_CHANGES = "Partial";

  /** The bit in a request's flags that says that the client has tried before. */
  static final long CLIENT_RETRY_FLAG = 2;

  /** The prefix of the number of requests in flight in an endpoint's load report. */
  static final String REQUESTS_IN_FLIGHT = "active:";

  // Outcomes of an attempt

  /** The attempt succeeded. */
  static final int SUCCEEDED = 0;

  /** The attempt was cancelled. */
  static final int CANCELLED = 1;

  /** The attempt timed out. */
  static final int TIMED_OUT = 4;

  /** The endpoint was overloaded and did not execute the request. */
  static final int OVERLOADED = 8;

  /** The attempt was never sent. */
  static final int NOT_SENT = 9;

  /** The attempt's connection was reset. */
  static final int RESET = 10;

  /** The endpoint answered with an error. */
  static final int ERROR = 13;

  /** The attempt's connection could not be opened. */
  static final int CONNECT_FAILED = 14;

  // Messages to the simulator

  /** Send an attempt. */
  static final String SEND_ATTEMPT = "forward";

  /** Reject a request; a retry is safe. */
  static final String REJECT_REQUEST = "not_now";

  /** Fail a request. */
  static final String FAIL_REQUEST = "report_failure";

  /** Cancel an attempt. */
  static final String CANCEL_ATTEMPT = "undo_send";

  /** Close the idle connections to an endpoint. */
  static final String RELEASE_CONNECTIONS = "close_idle";

  /** Watch the endpoint list. */
  static final String WATCH_ENDPOINTS = "listen";

  /** Set a timer. */
  static final String SCHEDULE_TIMER = "wake_at";

  /** A load balancer has thrown an exception. */
  static final String INSTANCE_FAILED = "bug";

  /** All decisions in answer to a batch of events have been written. */
  static final String ANSWER_END = "next";

  private WireFormat() {}
}
