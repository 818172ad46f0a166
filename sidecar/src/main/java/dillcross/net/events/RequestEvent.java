package dillcross.net.events;

import java.util.Locale;

/** A state change of a request, attempt or client connection that did not end in a success. */
public enum RequestEvent {
  /** A client's message is no valid request; none of it was forwarded. */
  REQUEST_INVALID,

  /** A request has not arrived in time; none of it was forwarded, or its body had stopped. */
  REQUEST_INCOMPLETE,

  /** There was no memory for a request; none of it was forwarded. */
  REQUEST_WITHOUT_MEMORY,

  /** A large request has waited too long to be read; none of it was forwarded. */
  REQUEST_NOT_READ,

  /** The load balancer rejected a request; a retry by the client is safe. */
  REQUEST_REJECTED,

  /** A request failed; nothing is promised about its effect. */
  REQUEST_FAILED,

  /** A client disconnected before it had its answer. */
  CLIENT_DISCONNECTED,

  /** A client was disconnected because it read nothing of its answer. */
  CLIENT_READS_NOTHING,

  /** An answer that was streamed to a client broke off. */
  ANSWER_TRUNCATED,

  /** An attempt ended without an answer that could be forwarded. */
  ATTEMPT_ENDED;

  /** The name of the event's counter. */
  public String counterName() {
    return name().toLowerCase(Locale.ROOT);
  }

  String text() {
    return counterName().replace('_', ' ');
  }
}
