package dillcross.sidecar;

import dillcross.model.Decision;
import java.util.Queue;

/**
 * Turns the load balancer's decisions into commands and timers. Decisions for a request that is
 * finished have no effect. Belongs to the selector thread.
 */
final class DecisionExecutor implements Decision.Handler {
  private final OpenRequests requests;
  private final EndpointListTracker endpoints;
  private final TimerQueue timers;
  private final Queue<NetworkCommand> commands;
  private long nowUs; // when the decision that is executed was made

  DecisionExecutor(
      OpenRequests requests,
      EndpointListTracker endpoints,
      TimerQueue timers,
      Queue<NetworkCommand> commands) {
    this.requests = requests;
    this.endpoints = endpoints;
    this.timers = timers;
    this.commands = commands;
  }

  /** Executes one decision, made at {@code now} in microseconds. */
  void execute(long now, Decision decision) {
    nowUs = now;
    decision.accept(this);
  }

  @Override
  public void onSendAttempt(Decision.SendAttempt decision) {
    long id = decision.requestId();
    OpenRequest request = requests.findUnfinished(id);
    if (request == null) {
      return;
    }
    boolean hasOwnDeadline =
        !request.isBodyIncomplete()
            && decision.deadlineUs() > 0
            && decision.deadlineUs() < request.deadlineUs();
    long deadlineUs = hasOwnDeadline ? decision.deadlineUs() : request.earliestDeadlineUs(nowUs);
    EndpointEntry target = endpoints.find(decision.endpoint());
    int number = request.startAttempt(target, nowUs);
    if (hasOwnDeadline) {
      timers.add(deadlineUs, TimerKind.ATTEMPT_DEADLINE, id, number);
    }
    commands.add(
        new NetworkCommand.SendAttempt(
            id,
            number,
            request.client(),
            decision.endpoint(),
            target.address(),
            request.content(),
            deadlineUs));
  }

  @Override
  public void onReject(Decision.Reject decision) {
    OpenRequest request = requests.findUnfinished(decision.requestId());
    if (request != null) {
      commands.add(new NetworkCommand.RejectRequest(request.client(), decision.retryAfterUs()));
      requests.finish(decision.requestId(), request);
    }
  }

  @Override
  public void onFail(Decision.Fail decision) {
    OpenRequest request = requests.findUnfinished(decision.requestId());
    if (request != null) {
      commands.add(new NetworkCommand.FailRequest(request.client()));
      requests.finish(decision.requestId(), request);
    }
  }

  @Override
  public void onCancelAttempt(Decision.CancelAttempt decision) {
    OpenRequest request = requests.find(decision.requestId());
    if (request != null) {
      requests.cancelAttempt(decision.requestId(), request, decision.attempt());
    }
  }

  @Override
  public void onReleaseConnections(Decision.ReleaseConnections decision) {
    commands.add(new NetworkCommand.CloseConnections(decision.endpoint()));
  }

  @Override
  public void onWatchEndpoints(Decision.WatchEndpoints decision) {
    endpoints.watch(nowUs);
  }

  @Override
  public void onScheduleTimer(Decision.ScheduleTimer decision) {
    timers.add(nowUs + decision.delayUs(), TimerKind.BALANCER, 0, 0);
  }
}
