package dillcross.sidecar;

import dillcross.balancer.LoadBalancer;
import dillcross.model.AttemptOutcome;
import dillcross.model.BalancerSettings;
import dillcross.model.Decision;
import dillcross.model.Endpoint;
import dillcross.sidecar.OpenRequest.OpenAttempt;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One sidecar without I/O and without a clock: turns what the network reports into calls of the
 * load balancer, and its decisions into commands for the network. Inputs only note; then pull
 * {@link #next} until it is null. It decides nothing itself: it keeps time for the load balancer,
 * and remembers which client waits for which request. All times are in microseconds of the caller's
 * clock. Belongs to the selector thread.
 */
public final class RequestCoordinator {
  private static final long UNANSWERED_GRACE_US = 10_000; // after the deadline
  private static final long MIN_WATCH_INTERVAL_US = 100_000; // a list that answers at once

  private final LoadBalancer balancer;
  private final Map<Long, OpenRequest> requests = new HashMap<>();
  private final EndpointAddresses addresses = new EndpointAddresses();
  private final TimerQueue timers = new TimerQueue();
  private final ArrayDeque<NetworkCommand> commands = new ArrayDeque<>();
  private final DecisionExecutor executor = new DecisionExecutor();
  private long lastRequestId;
  private long listVersion;
  private long lastWatchUs;
  private boolean hasReceivedWatchEvent;

  /** A coordinator with no requests, for a load balancer that nothing else calls. */
  public RequestCoordinator(LoadBalancer balancer) {
    this.balancer = balancer;
  }

  // Inputs

  /** New settings for the load balancer; nothing that is kept here depends on them. */
  public void applySettings(long nowUs, BalancerSettings settings) {
    balancer.applySettings(nowUs, settings);
  }

  /**
   * An update of the endpoint list.
   *
   * @param version by the list's own numbering
   * @param complete whether what {@code updates} do not name is removed; else they are changes
   * @param fromWatch whether a watch brought it, which then goes on
   */
  public void onEndpointList(
      long nowUs, long version, boolean complete, List<EndpointEntry> updates, boolean fromWatch) {
    // Its numbering began anew, or it is from before what is known: ask for the complete list, as
    // what it says may undo a drain.
    boolean isOlder = !complete && version < listVersion;
    listVersion = isOlder ? 0 : version;
    applyEndpoints(nowUs, complete, isOlder ? List.of() : updates);
    hasReceivedWatchEvent |= fromWatch;
    if (fromWatch) {
      long earliestUs = Math.max(nowUs, lastWatchUs + MIN_WATCH_INTERVAL_US);
      timers.add(updates.isEmpty() ? earliestUs : nowUs, TimerKind.WATCH_ENDPOINTS, 0, 0);
    }
  }

  /**
   * An update from the address where the list was before it moved, while the new one has not
   * answered yet; version numbers there say nothing here.
   */
  public void onFormerEndpointList(long nowUs, boolean complete, List<EndpointEntry> updates) {
    applyEndpoints(nowUs, complete, updates);
  }

  private void applyEndpoints(long nowUs, boolean complete, List<EndpointEntry> updates) {
    closeConnections(addresses.apply(updates));
    List<Endpoint> endpoints = updates.stream().map(EndpointEntry::endpoint).toList();
    balancer.onEndpointList(nowUs, complete, endpoints);
    closeConnections(addresses.removeIf(id -> !balancer.isListed(id)));
  }

  private void closeConnections(List<String> ids) {
    ids.forEach(id -> commands.add(new NetworkCommand.CloseConnections(id)));
  }

  /**
   * The list is at another address now: ask for all of it at once, as versions there may differ.
   */
  public void onDiscoveryMoved(long nowUs) {
    listVersion = 0;
    balancer.onEndpointList(nowUs, false, List.of()); // earlier failures are no reason to wait here
    timers.add(nowUs, TimerKind.WATCH_ENDPOINTS, 0, 0);
  }

  /** Whether a watch has brought the endpoint list. */
  public boolean hasReceivedWatchEvent() {
    return hasReceivedWatchEvent;
  }

  /**
   * The endpoint list is unavailable, or a watch of it broke.
   *
   * @param maxDelayUs it is asked for again after at most so long, times 0.5 to 1.5
   */
  public void onEndpointListFailure(long nowUs, long maxDelayUs) {
    balancer.onEndpointListFailure(nowUs, maxDelayUs);
  }

  /**
   * A request has arrived; returns the id by which it is known from here on. Where its body is
   * incomplete, {@link #onBodyComplete} is called with the last byte.
   */
  public long onRequest(long nowUs, IncomingRequest incoming) {
    lastRequestId++;
    long id = lastRequestId;
    OpenRequest request =
        new OpenRequest(incoming.client(), incoming.content(), incoming.timeoutUs());
    requests.put(id, request);
    balancer.onRequest(
        nowUs,
        id,
        incoming.tenant(),
        incoming.requestClass(),
        incoming.timeoutUs(),
        incoming.isRepeat());
    if (incoming.isBodyIncomplete()) {
      balancer.onRequestBody(nowUs, id, false, true);
    } else {
      startDeadline(nowUs, id, request);
    }
    return id;
  }

  private void startDeadline(long nowUs, long id, OpenRequest request) {
    request.startDeadline(nowUs);
    timers.add(request.deadlineUs(), TimerKind.REQUEST_DEADLINE, id, 0);
  }

  /** A part of the body was released: what is in flight can't be followed by another attempt. */
  public void onBodyReleased(long nowUs, long id) {
    OpenRequest request = requests.get(id);
    if (request != null && request.isReplayable) {
      request.isReplayable = false;
      balancer.onRequestBody(nowUs, id, false, false);
    }
  }

  /** The last byte of the body has arrived. */
  public void onBodyComplete(long nowUs, long id) {
    OpenRequest request = requests.get(id);
    if (request != null && request.isBodyIncomplete()) {
      for (OpenAttempt attempt : request.attempts) {
        if (!attempt.hasEnded) {
          attempt.sentUs = nowUs;
        }
      }
      balancer.onRequestBody(nowUs, id, true, request.isReplayable);
      startDeadline(nowUs, id, request);
    }
  }

  /** No endpoint has taken any of the body for as long as that may take: its attempts time out. */
  public void onBodyStalled(long id) {
    OpenRequest request = requests.get(id);
    if (request != null) {
      timeOutAttempts(id, request);
    }
  }

  /**
   * The first bytes of an attempt's answer are there, and more will come.
   *
   * @return false where nobody wants it any more
   */
  public boolean onResponseStarted(long nowUs, long id, int attemptNumber, Object content) {
    OpenRequest request = requests.get(id);
    if (request == null) {
      return false;
    }
    OpenAttempt attempt = request.attempts.get(attemptNumber);
    boolean isAnswered = request.isOver || request.streaming != null;
    if (attempt.hasEnded || isAnswered || request.isBodyIncomplete()) {
      return false;
    }
    request.streaming = attempt;
    attempt.streamingSinceUs = nowUs;
    balancer.onResponseStarted(nowUs, id, attemptNumber);
    commands.add(new NetworkCommand.StartStreaming(request.client, content));
    return true;
  }

  /** The client has disconnected. */
  public void onClientDisconnected(long nowUs, long id) {
    OpenRequest request = requests.get(id);
    if (request != null && !request.isOver) {
      balancer.onClientDisconnected(nowUs, id);
      // The load balancer leaves an answer that is streamed to the client.
      abandon(id, request, request.attempts.indexOf(request.streaming), false);
      finish(id, request);
    }
  }

  /** An attempt has ended on the network. */
  public void onAttemptEnded(long nowUs, long id, int attemptNumber, AttemptResult result) {
    OpenRequest request = requests.get(id);
    if (request == null || request.attempts.get(attemptNumber).hasEnded) {
      return;
    }
    OpenAttempt attempt = request.attempts.get(attemptNumber);
    attempt.hasEnded = true;
    request.attemptsInFlight--;
    AttemptOutcome outcome = result.outcome(attempt.hasTimedOut);
    answerClient(request, attempt, outcome, result.content());
    boolean hasStreamed = attempt.streamingSinceUs > 0;
    long endUs =
        hasStreamed ? attempt.streamingSinceUs : nowUs; // the rest is the client's doing too
    balancer.onAttemptEnded(
        nowUs, id, attemptNumber, outcome, endUs - attempt.sentUs, request.isOver);
    if (request.isOver && request.attemptsInFlight == 0) {
      requests.remove(id);
    }
  }

  /** The endpoint's own word is final, and the first that comes. */
  private void answerClient(
      OpenRequest request, OpenAttempt attempt, AttemptOutcome outcome, Object content) {
    boolean succeeded = outcome == AttemptOutcome.SUCCEEDED;
    boolean isFinal = succeeded || outcome == AttemptOutcome.CLIENT_ERROR;
    if (request.streaming == attempt && !request.isOver) {
      commands.add(new NetworkCommand.FinishStreaming(request.client, succeeded));
      request.isOver = true;
    } else if (isFinal && !request.isOver && request.streaming == null) {
      commands.add(
          succeeded
              ? new NetworkCommand.ForwardResponse(request.client, content)
              : new NetworkCommand.ForwardClientError(request.client, content));
      request.isOver = true;
    }
  }

  /**
   * Whether an attempt that had to wait for its connection may still be sent: its request may have
   * been answered or its time be over, its endpoint may drain, have moved, or be another process,
   * which is warming up. What belongs to no request is not held back here.
   */
  public boolean maySend(long nowUs, long id, int attemptNumber) {
    OpenRequest request = requests.get(id);
    if (request == null) {
      return true;
    }
    EndpointEntry target = request.attempts.get(attemptNumber).target;
    return !request.isOver && nowUs < request.deadlineUs() && addresses.isCurrent(target);
  }

  /**
   * When the next timer is due; a network with nothing to report must call {@link #next} by then.
   */
  public long nextTimerUs() {
    return timers.nextDueUs();
  }

  /** Requests that wait for their answer. */
  public long openRequests() {
    return requests.values().stream().filter(request -> !request.isOver).count();
  }

  /** Requests that are kept: open ones, and those that are over with an attempt in flight. */
  public int trackedRequests() {
    return requests.size();
  }

  /** Timers that are set; those of a request that is over go when they are due. */
  public int pendingTimers() {
    return timers.size();
  }

  // Commands

  /** The next thing to carry out; null when there is none. */
  public NetworkCommand next(long nowUs) {
    while (commands.isEmpty()) {
      TimerQueue.Timer due = timers.pollDue(nowUs);
      if (due != null) {
        onTimer(nowUs, due);
        continue;
      }
      Decision decision = balancer.next();
      if (decision == null) {
        return null;
      }
      executor.nowUs = nowUs;
      decision.accept(executor);
    }
    return commands.poll();
  }

  private void onTimer(long nowUs, TimerQueue.Timer timer) {
    OpenRequest request = requests.get(timer.requestId());
    switch (timer.kind()) {
      case BALANCER -> balancer.onTimer(nowUs);
      case WATCH_ENDPOINTS -> watchEndpoints(nowUs);
      case ATTEMPT_DEADLINE -> abandon(timer.requestId(), request, timer.attempt(), true);
      case REQUEST_UNANSWERED -> failUnanswered(nowUs, timer.requestId(), request);
      case REQUEST_DEADLINE -> onDeadline(timer, request);
    }
  }

  private void onDeadline(TimerQueue.Timer timer, OpenRequest request) {
    if (request == null) {
      return;
    }
    timeOutAttempts(timer.requestId(), request);
    if (!request.isOver) {
      long checkUs = timer.dueUs() + UNANSWERED_GRACE_US;
      timers.add(checkUs, TimerKind.REQUEST_UNANSWERED, timer.requestId(), 0);
    }
  }

  /** A fault in the load balancer must not leave a client without an answer. */
  private void failUnanswered(long nowUs, long id, OpenRequest request) {
    if (request != null && !request.isOver && request.streaming == null) {
      commands.add(new NetworkCommand.FailRequest(request.client));
      balancer.onClientDisconnected(nowUs, id);
      finish(id, request);
    }
  }

  private void watchEndpoints(long nowUs) {
    lastWatchUs = nowUs;
    commands.add(new NetworkCommand.WatchEndpoints(listVersion));
  }

  private void timeOutAttempts(long id, OpenRequest request) {
    for (int number = 0; number < request.attempts.size(); number++) {
      abandon(id, request, number, true);
    }
  }

  private void abandon(long id, OpenRequest request, int number, boolean timedOut) {
    OpenAttempt attempt = request == null ? null : request.attempt(number);
    if (attempt == null || attempt.hasEnded) {
      return;
    }
    if (!timedOut || attempt != request.streaming) { // what is streamed has no deadline any more
      attempt.hasTimedOut = timedOut;
      commands.add(new NetworkCommand.AbandonAttempt(id, number));
    }
  }

  private void finish(long id, OpenRequest request) {
    request.isOver = true;
    if (request.attemptsInFlight == 0) {
      requests.remove(id);
    }
  }

  /** Turns decisions into commands; one for a request that is over has come too late. */
  private final class DecisionExecutor implements Decision.Handler {
    private long nowUs;

    private OpenRequest findOpen(long id) {
      OpenRequest request = requests.get(id);
      return request == null || request.isOver ? null : request;
    }

    @Override
    public void onSendAttempt(Decision.SendAttempt decision) {
      long id = decision.requestId();
      OpenRequest request = findOpen(id);
      if (request == null) {
        return;
      }
      long requestEndUs =
          request.isBodyIncomplete() ? nowUs + request.timeoutUs : request.deadlineUs();
      boolean isLimited =
          !request.isBodyIncomplete()
              && decision.deadlineUs() > 0
              && decision.deadlineUs() < request.deadlineUs();
      long deadlineUs = isLimited ? decision.deadlineUs() : requestEndUs;
      int number = request.attempts.size();
      EndpointEntry target = addresses.find(decision.endpoint());
      request.attempts.add(new OpenAttempt(target, nowUs));
      request.attemptsInFlight++;
      if (isLimited) {
        timers.add(deadlineUs, TimerKind.ATTEMPT_DEADLINE, id, number);
      }
      commands.add(
          new NetworkCommand.SendAttempt(
              id,
              number,
              request.client,
              decision.endpoint(),
              target.address(),
              request.content,
              deadlineUs));
    }

    @Override
    public void onReject(Decision.Reject decision) {
      OpenRequest request = findOpen(decision.requestId());
      if (request != null) {
        commands.add(new NetworkCommand.RejectRequest(request.client, decision.retryAfterUs()));
        finish(decision.requestId(), request);
      }
    }

    @Override
    public void onFail(Decision.Fail decision) {
      OpenRequest request = findOpen(decision.requestId());
      if (request != null) {
        commands.add(new NetworkCommand.FailRequest(request.client));
        finish(decision.requestId(), request);
      }
    }

    @Override
    public void onCancelAttempt(Decision.CancelAttempt decision) {
      long id = decision.requestId();
      abandon(id, requests.get(id), decision.attempt(), false);
    }

    @Override
    public void onReleaseConnections(Decision.ReleaseConnections decision) {
      commands.add(new NetworkCommand.CloseConnections(decision.endpoint()));
    }

    @Override
    public void onWatchEndpoints(Decision.WatchEndpoints decision) {
      watchEndpoints(nowUs);
    }

    @Override
    public void onScheduleTimer(Decision.ScheduleTimer decision) {
      timers.add(nowUs + decision.delayUs(), TimerKind.BALANCER, 0, 0);
    }
  }
}
