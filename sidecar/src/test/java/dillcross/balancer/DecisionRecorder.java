package dillcross.balancer;

import dillcross.model.Decision;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Records the decisions of a load balancer under test, with times of a virtual clock. */
abstract class DecisionRecorder implements Decision.Handler {
  /** Stands for the answer of a request that an endpoint answered or whose client disconnected. */
  static final Decision ENDPOINT_ANSWER = new Decision.Fail(-1);

  static final long MICROS_PER_MILLI = 1000;

  /** What the load balancer decided for a request. */
  enum NextStep {
    /** Another attempt, for a request that the load balancer has not answered itself. */
    SEND,
    /** A rejection, which tells the client that a retry is safe. */
    REJECT,
    /** A failure, because the request may have been executed. */
    FAIL,
    /** The load balancer itself has given no answer. */
    NONE
  }

  /**
   * An attempt as the load balancer sent it.
   *
   * @param number the attempt's number within its request, from 0
   * @param deadlineMs when the attempt is to time out; 0 if only the request's deadline applies
   */
  record SentAttempt(long requestId, int number, String endpoint, long sentMs, long deadlineMs) {}

  /** Attempts that have not ended, in the order in which they were sent. */
  final List<SentAttempt> inFlight = new ArrayList<>();

  /** All attempts in the order in which they were sent. */
  final List<SentAttempt> sentAttempts = new ArrayList<>();

  /** The final answer of each request that has one, by request id. */
  final Map<Long, Decision> answers = new HashMap<>();

  /** The times at which the load balancer called for the endpoint list. */
  final List<Long> watchTimesMs = new ArrayList<>();

  /** Endpoints whose idle connections the load balancer released, in the order of release. */
  final List<String> releasedConnections = new ArrayList<>();

  /** The current time of the virtual clock. */
  long nowMs = 1_000_000;

  /** The times at which the load balancer's timers fire. */
  final List<Long> timersMs = new ArrayList<>();

  /** Attempts that the load balancer cancelled and that have not ended yet. */
  final List<SentAttempt> cancelled = new ArrayList<>();

  private final Map<Long, Integer> attemptCounts = new HashMap<>();

  /** How the load balancer answered the request; {@code NONE} if it gave no answer itself. */
  NextStep nextStep(long request) {
    Decision answer = answers.get(request);
    if (answer instanceof Decision.Reject) {
      return NextStep.REJECT;
    }
    return answer instanceof Decision.Fail ? NextStep.FAIL : NextStep.NONE;
  }

  /** As {@link #nextStep}, but {@code SEND} instead of {@code NONE}. */
  NextStep nextStepOrSend(long request) {
    NextStep step = nextStep(request);
    return step == NextStep.NONE ? NextStep.SEND : step;
  }

  /** How many of the given requests the load balancer rejected. */
  long countRejected(Collection<Long> requests) {
    return requests.stream().filter(request -> nextStep(request) == NextStep.REJECT).count();
  }

  /** How many requests the load balancer rejected. */
  long countRejected() {
    return countRejected(answers.keySet());
  }

  /** How many attempts the request has had. */
  int attemptCount(long request) {
    return attemptCounts.getOrDefault(request, 0);
  }

  /** The requests that have had an attempt. */
  Set<Long> attemptedRequests() {
    return attemptCounts.keySet();
  }

  /** The newest attempt of the request that is in flight. */
  SentAttempt lastAttemptOf(long request) {
    return inFlight.stream()
        .filter(attempt -> attempt.requestId() == request)
        .reduce((earlier, later) -> later)
        .orElseThrow();
  }

  @Override
  public void onSendAttempt(Decision.SendAttempt decision) {
    long requestId = decision.requestId();
    int number = attemptCounts.merge(requestId, 1, Integer::sum) - 1;
    long deadlineMs = decision.deadlineUs() / MICROS_PER_MILLI;
    SentAttempt attempt =
        new SentAttempt(requestId, number, decision.endpoint(), nowMs, deadlineMs);
    inFlight.add(attempt);
    sentAttempts.add(attempt);
  }

  @Override
  public void onReject(Decision.Reject decision) {
    answer(decision.requestId(), decision);
  }

  @Override
  public void onFail(Decision.Fail decision) {
    answer(decision.requestId(), decision);
  }

  private void answer(long requestId, Decision answer) {
    if (answers.put(requestId, answer) != null) {
      throw new AssertionError("answered twice: " + answer);
    }
  }

  @Override
  public void onCancelAttempt(Decision.CancelAttempt decision) {
    inFlight.stream()
        .filter(attempt -> attempt.requestId() == decision.requestId())
        .filter(attempt -> attempt.number() == decision.attempt())
        .forEach(cancelled::add);
  }

  @Override
  public void onReleaseConnections(Decision.ReleaseConnections decision) {
    releasedConnections.add(decision.endpoint());
  }

  @Override
  public void onWatchEndpoints(Decision.WatchEndpoints decision) {
    watchTimesMs.add(nowMs);
  }

  @Override
  public void onScheduleTimer(Decision.ScheduleTimer decision) {
    long delayMs = (decision.delayUs() + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI;
    timersMs.add(nowMs + delayMs);
  }
}
