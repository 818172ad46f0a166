package dillcross.sidecar;

import dillcross.balancer.LoadBalancer;
import dillcross.balancer.ResponseCollection;
import dillcross.model.AttemptOutcome;
import dillcross.model.BalancerSettings;
import dillcross.model.Decision;
import java.util.ArrayDeque;
import java.util.List;

/**
 * One sidecar without I/O and without a clock: turns the network's events into calls of the load
 * balancer, and the load balancer's decisions into commands for the network. It takes no decision
 * itself.
 *
 * <p>The methods that report an event only record it; the caller then calls {@link #next} until it
 * returns null. All times are in microseconds of the caller's clock. Belongs to the selector
 * thread.
 */
public final class RequestCoordinator {
  private final LoadBalancer balancer;
  private final ArrayDeque<NetworkCommand> commands = new ArrayDeque<>();
  private final OpenRequests requests = new OpenRequests(commands);
  private final TimerQueue timers = new TimerQueue();
  private final DeadlineLimit limit = new DeadlineLimit();
  private final EndpointListTracker endpoints;
  private final TimerHandler timerHandler;
  private final DecisionExecutor executor;

  /** A coordinator with no requests, for a load balancer that nothing else calls. */
  public RequestCoordinator(LoadBalancer balancer) {
    this.balancer = balancer;
    endpoints = new EndpointListTracker(balancer, timers, commands);
    timerHandler = new TimerHandler(timers, balancer, requests, endpoints, commands);
    executor = new DecisionExecutor(requests, endpoints, timers, commands);
  }

  /** Passes new settings on to the load balancer. */
  public void applySettings(long nowUs, BalancerSettings settings) {
    balancer.applySettings(nowUs, settings);
  }

  // Endpoint list

  /**
   * Applies an update of the endpoint list. Changes older than the known version are dropped, and
   * the complete list is requested.
   *
   * @param version the discovery service's version of the list
   * @param complete whether endpoints without an entry are removed; if false the entries are
   *     changes
   * @param fromWatch whether the update answers a watch; the next watch is then scheduled
   */
  public void onEndpointList(
      long nowUs, long version, boolean complete, List<EndpointEntry> updates, boolean fromWatch) {
    endpoints.onUpdate(nowUs, version, complete, updates, fromWatch);
  }

  /**
   * Applies an update from the former discovery address, while the new address has not answered
   * yet. Its versions are not comparable with those of the new address.
   */
  public void onFormerEndpointList(long nowUs, boolean complete, List<EndpointEntry> updates) {
    endpoints.onFormerUpdate(nowUs, complete, updates);
  }

  /** Requests the complete list now, because discovery has moved to a new address. */
  public void onDiscoveryMoved(long nowUs) {
    endpoints.onDiscoveryMoved(nowUs);
  }

  /** The version of the last endpoint list that was applied; 0 before the first. */
  public long endpointListVersion() {
    return endpoints.listVersion();
  }

  /** The number of endpoints that attempts may be sent to. */
  public int endpointCount() {
    return endpoints.endpointCount();
  }

  /** Whether a watch has brought the endpoint list since the start. */
  public boolean hasReceivedWatchEvent() {
    return endpoints.hasReceivedWatchEvent();
  }

  /**
   * Reports that the endpoint list is unavailable, or that a watch of it broke.
   *
   * @param maxDelayUs the longest backoff before the next watch; the backoff is jittered by a
   *     factor of 0.5 to 1.5
   */
  public void onEndpointListFailure(long nowUs, long maxDelayUs) {
    balancer.onEndpointListFailure(nowUs, maxDelayUs);
  }

  // Requests

  /**
   * Reports that a request has arrived. If its body is incomplete, the caller has to call {@link
   * #onBodyComplete} at the last byte.
   *
   * @return the id of the request, unique within this coordinator
   */
  public long onRequest(long nowUs, IncomingRequest incoming) {
    OpenRequest request =
        new OpenRequest(incoming.client(), incoming.content(), incoming.timeoutUs(), limit);
    long id = requests.add(request);
    balancer.onRequest(
        nowUs,
        id,
        incoming.tenant(),
        incoming.requestClass(),
        incoming.timeoutUs(),
        incoming.isRepeat());
    if (incoming.isBodyIncomplete()) {
      balancer.onRequestBody(nowUs, id, false, true);
      updateDeadline(nowUs, id, request);
    } else {
      request.startDeadline(nowUs);
      timers.add(request.deadlineUs(), TimerKind.REQUEST_DEADLINE, id, 0);
    }
    return id;
  }

  /**
   * Limits the time until which requests are answered, those that are open and those to come. A
   * request whose body has not arrived by its limit is given up like one whose client's timeout has
   * passed. A response that is streamed goes on.
   *
   * @param answerUs until when requests are answered
   * @param arrivalUs until when the body of a request has to arrive; at most {@code answerUs}
   */
  public void limitDeadlines(long nowUs, long answerUs, long arrivalUs) {
    if (!limit.set(answerUs, arrivalUs)) {
      return;
    }
    for (long id : requests.unfinishedIds()) {
      updateDeadline(nowUs, id, requests.find(id));
    }
  }

  /** Tells the load balancer the deadline of a request, and sets its timer if it has one. */
  private void updateDeadline(long nowUs, long id, OpenRequest request) {
    long deadlineUs = request.deadlineUs();
    balancer.onBodyDeadline(nowUs, id, deadlineUs);
    if (deadlineUs < Long.MAX_VALUE) {
      timers.add(deadlineUs, TimerKind.REQUEST_DEADLINE, id, 0);
    }
  }

  /**
   * Reports that a part of the request's body was released from its buffer, so that no later
   * attempt can send all of it.
   */
  public void onBodyReleased(long nowUs, long id) {
    OpenRequest request = requests.find(id);
    if (request != null && request.isReplayable()) {
      request.releaseBody();
      balancer.onRequestBody(nowUs, id, false, false);
    }
  }

  /**
   * Reports whether the client may have sent the last byte of the request's body, although it was
   * not read yet. From when it may, the client's timeout runs.
   */
  public void onBodyProgress(long nowUs, long id, boolean mayHaveEnded) {
    OpenRequest request = requests.find(id);
    boolean isChange =
        request != null
            && request.isBodyIncomplete()
            && mayHaveEnded != (request.mayHaveEndedSinceUs() > 0);
    if (!isChange) {
      return;
    }
    request.setMayHaveEndedSince(mayHaveEnded ? nowUs : 0);
    updateDeadline(nowUs, id, request);
  }

  /**
   * Reports that the last byte of the request's body has arrived. The client's timeout counts from
   * when it was sent at the earliest. Later calls for the same request have no effect.
   */
  public void onBodyComplete(long nowUs, long id) {
    OpenRequest request = requests.find(id);
    if (request != null && request.isBodyIncomplete()) {
      long sinceUs = request.mayHaveEndedSinceUs();
      long sentUs = sinceUs > 0 ? sinceUs : nowUs;
      request.completeBody(nowUs);
      request.startDeadline(sentUs);
      updateDeadline(nowUs, id, request);
      balancer.onRequestBody(nowUs, id, true, request.isReplayable());
    }
  }

  /**
   * Reports that it can't be known whether the client is still connected, because more input
   * followed its request than is read. No attempt of it is sent any more; what was sent goes on.
   */
  public void onClientUnseen(long nowUs, long id) {
    OpenRequest request = requests.find(id);
    if (request != null && !request.isFinished()) {
      balancer.onNoFurtherAttempts(nowUs, id);
      requests.withdrawAttempts(id, request);
    }
  }

  /** Reports that the transfer of a request's body has stalled: its attempts time out. */
  public void onBodyStalled(long id) {
    OpenRequest request = requests.find(id);
    if (request != null) {
      requests.timeOutAttempts(id, request);
    }
  }

  /** Reports that the client of a request has disconnected: it gets no further answer. */
  public void onClientDisconnected(long nowUs, long id) {
    OpenRequest request = requests.find(id);
    if (request != null && !request.isFinished()) {
      balancer.onClientDisconnected(nowUs, id);
      // The load balancer does not cancel an attempt whose response is streamed.
      requests.cancelAttempt(id, request, request.streamingNumber());
      requests.finish(id, request);
    }
  }

  // Attempts

  /**
   * Whether an attempt that waited for its connection may still be sent: its request is not
   * finished, its deadline has not passed, and its endpoint is still the same process at the same
   * address and may be used. Also true for an id that belongs to no request, such as a warm-up
   * probe's.
   */
  public boolean maySend(long nowUs, long id, int attemptNumber) {
    OpenRequest request = requests.find(id);
    if (request == null) {
      return true;
    }
    EndpointEntry target = request.attempt(attemptNumber).target();
    return !request.isFinished() && nowUs < request.deadlineUs() && endpoints.isCurrent(target);
  }

  /**
   * Until when the response of an attempt is collected whose first bytes have arrived now, and
   * whose length is not known.
   *
   * @param deadlineUs when the attempt would be abandoned
   */
  public long collectResponseUntilUs(long nowUs, long deadlineUs) {
    return ResponseCollection.untilUs(nowUs, deadlineUs);
  }

  /**
   * Reports that the first bytes of an attempt's response have arrived, and that more will follow.
   *
   * @return whether the response is streamed to the client; if false it is to be discarded
   */
  public boolean onResponseStarted(long nowUs, long id, int attemptNumber, Object content) {
    OpenRequest request = requests.find(id);
    if (request == null) {
      return false;
    }
    OpenAttempt attempt = request.attempt(attemptNumber);
    boolean isAnswered = request.isFinished() || request.isStreaming();
    if (attempt.hasEnded() || isAnswered || request.isBodyIncomplete()) {
      return false;
    }
    request.startStreaming(attempt, nowUs);
    balancer.onResponseStarted(nowUs, id, attemptNumber);
    commands.add(new NetworkCommand.StartStreaming(request.client(), content));
    return true;
  }

  /**
   * Reports that an attempt has ended on the network. Later calls for the same attempt have no
   * effect.
   */
  public void onAttemptEnded(long nowUs, long id, int attemptNumber, AttemptResult result) {
    OpenRequest request = requests.find(id);
    if (request == null || request.attempt(attemptNumber).hasEnded()) {
      return;
    }
    OpenAttempt attempt = request.attempt(attemptNumber);
    request.endAttempt(attempt);
    AttemptOutcome outcome = result.outcome(attempt.hasTimedOut());
    answerClient(request, attempt, outcome, result.content());
    balancer.onAttemptEnded(
        nowUs, id, attemptNumber, outcome, attempt.elapsedUs(nowUs), request.isFinished());
    requests.removeIfDone(id, request);
  }

  /** Forwards the first final response and discards later ones. */
  private void answerClient(
      OpenRequest request, OpenAttempt attempt, AttemptOutcome outcome, Object content) {
    boolean succeeded = outcome == AttemptOutcome.SUCCEEDED;
    boolean isFinal = succeeded || outcome == AttemptOutcome.CLIENT_ERROR;
    if (request.isStreaming(attempt) && !request.isFinished()) {
      commands.add(new NetworkCommand.FinishStreaming(request.client(), succeeded));
      request.finish();
    } else if (isFinal && !request.isFinished() && !request.isStreaming()) {
      commands.add(
          succeeded
              ? new NetworkCommand.ForwardResponse(request.client(), content)
              : new NetworkCommand.ForwardClientError(request.client(), content));
      request.finish();
    }
  }

  // Commands and timers

  /** Takes the next command to carry out; null if there is none at {@code nowUs}. */
  public NetworkCommand next(long nowUs) {
    while (commands.isEmpty()) {
      if (timerHandler.handleNextDue(nowUs)) {
        continue;
      }
      Decision decision = balancer.next();
      if (decision == null) {
        return null;
      }
      executor.execute(nowUs, decision);
    }
    return commands.poll();
  }

  /**
   * When the next timer is due: a caller without events must call {@link #next} by then. {@code
   * Long.MAX_VALUE} if no timer is set.
   */
  public long nextTimerUs() {
    return timers.nextDueUs();
  }

  /** The number of requests whose clients still wait for the end of their answer. */
  public long openRequests() {
    return requests.unfinishedCount();
  }

  /**
   * The number of requests in memory: those whose clients still wait, and finished ones that have
   * an attempt in flight.
   */
  public int trackedRequests() {
    return requests.size();
  }

  /** The number of timers that are set. Those of a finished request stay until they are due. */
  public int pendingTimers() {
    return timers.size();
  }
}
