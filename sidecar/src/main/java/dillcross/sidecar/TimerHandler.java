package dillcross.sidecar;

import dillcross.balancer.LoadBalancer;
import java.util.Queue;

/**
 * Handles timers that are due: times out attempts and requests, starts the next watch of the
 * endpoint list, and calls the load balancer for its own timers. Belongs to the selector thread.
 */
final class TimerHandler {
  /** How long after its deadline an unanswered request is failed, in microseconds. */
  private static final long UNANSWERED_GRACE_US = 10_000;

  private final TimerQueue timers;
  private final LoadBalancer balancer;
  private final OpenRequests requests;
  private final EndpointListTracker endpoints;
  private final Queue<NetworkCommand> commands;

  TimerHandler(
      TimerQueue timers,
      LoadBalancer balancer,
      OpenRequests requests,
      EndpointListTracker endpoints,
      Queue<NetworkCommand> commands) {
    this.timers = timers;
    this.balancer = balancer;
    this.requests = requests;
    this.endpoints = endpoints;
    this.commands = commands;
  }

  /** Handles the next timer that is due; returns false if there is none. */
  boolean handleNextDue(long nowUs) {
    TimerQueue.Timer timer = timers.pollDue(nowUs);
    if (timer == null) {
      return false;
    }
    handle(nowUs, timer);
    return true;
  }

  private void handle(long nowUs, TimerQueue.Timer timer) {
    switch (timer.kind()) {
      case BALANCER -> balancer.onTimer(nowUs);
      case WATCH_ENDPOINTS -> endpoints.watch(nowUs);
      case ATTEMPT_DEADLINE -> onAttemptDeadline(timer);
      case REQUEST_UNANSWERED -> failUnanswered(nowUs, timer.requestId());
      case REQUEST_DEADLINE -> onRequestDeadline(timer);
    }
  }

  private void onAttemptDeadline(TimerQueue.Timer timer) {
    OpenRequest request = requests.find(timer.requestId());
    if (request != null) {
      requests.timeOutAttempt(timer.requestId(), request, timer.attempt());
    }
  }

  private void onRequestDeadline(TimerQueue.Timer timer) {
    OpenRequest request = requests.find(timer.requestId());
    if (request == null || request.deadlineUs() > timer.dueUs()) { // it was moved meanwhile
      return;
    }
    requests.timeOutAttempts(timer.requestId(), request);
    if (!request.isFinished()) {
      long checkUs = timer.dueUs() + UNANSWERED_GRACE_US;
      timers.add(checkUs, TimerKind.REQUEST_UNANSWERED, timer.requestId(), 0);
    }
  }

  /**
   * Fails a request that is still unanswered, so that a fault in the load balancer leaves no client
   * without an answer.
   */
  private void failUnanswered(long nowUs, long id) {
    OpenRequest request = requests.findUnfinished(id);
    if (request != null && !request.isStreaming()) {
      commands.add(new NetworkCommand.FailRequest(request.client()));
      balancer.onClientDisconnected(nowUs, id);
      requests.finish(id, request);
    }
  }
}
