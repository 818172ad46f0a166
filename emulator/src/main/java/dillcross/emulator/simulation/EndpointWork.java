package dillcross.emulator.simulation;

import dillcross.emulator.oracle.ObservedRequest;

/** One accepted request that waits for a core of its endpoint or is being executed. */
final class EndpointWork {
  private final EndpointConnection connection;
  private final ObservedRequest request;
  private final ObservedRequest.Attempt attempt;
  private final long deadlineUs;
  private boolean isAbandoned;

  /** Creates work for the request on the connection; it does not start after {@code deadlineUs}. */
  EndpointWork(
      EndpointConnection connection,
      ObservedRequest request,
      ObservedRequest.Attempt attempt,
      long deadlineUs) {
    this.connection = connection;
    this.request = request;
    this.attempt = attempt;
    this.deadlineUs = deadlineUs;
  }

  EndpointConnection connection() {
    return connection;
  }

  ObservedRequest request() {
    return request;
  }

  ObservedRequest.Attempt attempt() {
    return attempt;
  }

  boolean isExpired(long nowUs) {
    return nowUs > deadlineUs;
  }

  /** Records that the sender has closed the connection, so that the result is discarded. */
  void abandon() {
    isAbandoned = true;
  }

  boolean isAbandoned() {
    return isAbandoned;
  }
}
