package dillcross.model;

/**
 * A command of the load balancer to its host. The host executes commands in the order in which it
 * receives them. Immutable; {@link #accept} dispatches by kind.
 */
public sealed interface Decision {
  /** Calls the method of {@code handler} for this kind of decision. */
  void accept(Handler handler);

  /** Executes decisions, one method for each kind. */
  interface Handler {
    /** Send the request to an endpoint. */
    void onSendAttempt(SendAttempt decision);

    /**
     * Give the client its final answer: the request was rejected, a retry by the client is safe.
     */
    void onReject(Reject decision);

    /** Give the client its final answer: the request failed and may have been executed. */
    void onFail(Fail decision);

    /** Cancel an attempt in flight. */
    void onCancelAttempt(CancelAttempt decision);

    /** Close the idle connections to an endpoint that is no longer in use. */
    void onReleaseConnections(ReleaseConnections decision);

    /** Subscribe to changes of the endpoint list. */
    void onWatchEndpoints(WatchEndpoints decision);

    /** Call the load balancer's timer input after a delay. */
    void onScheduleTimer(ScheduleTimer decision);
  }

  /**
   * Sends the request to an endpoint.
   *
   * @param requestId the load balancer's number of the request
   * @param endpoint the endpoint's id
   * @param deadlineUs when the attempt times out, in microseconds of the caller's clock; 0 if only
   *     the request's deadline applies
   */
  record SendAttempt(long requestId, String endpoint, long deadlineUs) implements Decision {
    @Override
    public void accept(Handler handler) {
      handler.onSendAttempt(this);
    }
  }

  /**
   * Gives the client its final answer: the request was rejected, a retry by the client is safe.
   *
   * @param requestId the load balancer's number of the request
   * @param retryAfterUs how long the client should wait before a retry, in microseconds; 0 to give
   *     no advice
   */
  record Reject(long requestId, long retryAfterUs) implements Decision {
    @Override
    public void accept(Handler handler) {
      handler.onReject(this);
    }
  }

  /**
   * Gives the client its final answer: the request failed and may have been executed.
   *
   * @param requestId the load balancer's number of the request
   */
  record Fail(long requestId) implements Decision {
    @Override
    public void accept(Handler handler) {
      handler.onFail(this);
    }
  }

  /**
   * Cancels an attempt in flight.
   *
   * @param requestId the load balancer's number of the request
   * @param attempt the attempt's number within the request, from 0
   */
  record CancelAttempt(long requestId, int attempt) implements Decision {
    @Override
    public void accept(Handler handler) {
      handler.onCancelAttempt(this);
    }
  }

  /**
   * Closes the idle connections to an endpoint that is no longer in use.
   *
   * @param endpoint the endpoint's id
   */
  record ReleaseConnections(String endpoint) implements Decision {
    @Override
    public void accept(Handler handler) {
      handler.onReleaseConnections(this);
    }
  }

  /** Subscribes to changes of the endpoint list. */
  record WatchEndpoints() implements Decision {
    @Override
    public void accept(Handler handler) {
      handler.onWatchEndpoints(this);
    }
  }

  /**
   * Calls the load balancer's timer input after a delay.
   *
   * @param delayUs the delay from now, in microseconds
   */
  record ScheduleTimer(long delayUs) implements Decision {
    @Override
    public void accept(Handler handler) {
      handler.onScheduleTimer(this);
    }
  }
}
