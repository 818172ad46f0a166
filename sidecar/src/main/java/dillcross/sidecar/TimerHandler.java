package dillcross.sidecar;

import dillcross.balancer.LoadBalancer;
import java.util.Queue;

/**
 * Acts on timers that are due: times attempts and requests out, has the endpoint list watched, and
 * passes the load balancer's own timers on. Belongs to the selector thread.
 */
final class TimerHandler {
  /** How long after its deadline a request may stay unanswered before it is failed here. */
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

  /** Acts on the next timer that is due; returns false if there is none. */
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
    if (request == null) {
      return;
    }
    requests.timeOutAttempts(timer.requestId(), request);
    if (!request.isFinished()) {
      long checkUs = timer.dueUs() + UNANSWERED_GRACE_US;
      timers.add(checkUs, TimerKind.REQUEST_UNANSWERED, timer.requestId(), 0);
    }
  }

  /** A fault in the load balancer must not leave a client without an answer. */
  private void failUnanswered(long nowUs, long id) {
    OpenRequest request = requests.findUnfinished(id);
    if (request != null && !request.isStreaming()) {
      commands.add(new NetworkCommand.FailRequest(request.client()));
      balancer.onClientDisconnected(nowUs, id);
      requests.finish(id, request);
    }
  }
}
