package dillcross.simulator;

import dillcross.model.Decision;

/** Writes the decisions of one instance as lines of the simulator's wire. */
final class DecisionWriter implements Decision.Handler {
  private static final int MICROS_PER_MILLI = 1000;

  private final StringBuilder output;
  private final int instance;

  DecisionWriter(StringBuilder output, int instance) {
    this.output = output;
    this.instance = instance;
  }

  @Override
  public void onSendAttempt(Decision.SendAttempt decision) {
    begin("forward").append(' ').append(decision.requestId()).append(' ');
    if (decision.deadlineUs() == 0) {
      output.append('-');
    } else {
      appendMillis(decision.deadlineUs());
    }
    output.append(' ').append(decision.endpoint()).append('\n');
  }

  @Override
  public void onReject(Decision.Reject decision) {
    begin("not_now").append(' ').append(decision.requestId()).append(' ');
    appendMillis(decision.retryAfterUs());
    output.append('\n');
  }

  @Override
  public void onFail(Decision.Fail decision) {
    begin("report_failure").append(' ').append(decision.requestId()).append('\n');
  }

  @Override
  public void onCancelAttempt(Decision.CancelAttempt decision) {
    begin("undo_send").append(' ').append(decision.requestId());
    output.append(' ').append(decision.attempt()).append('\n');
  }

  @Override
  public void onReleaseConnections(Decision.ReleaseConnections decision) {
    begin("close_idle").append(' ').append(decision.endpoint()).append('\n');
  }

  @Override
  public void onWatchEndpoints(Decision.WatchEndpoints decision) {
    begin("listen").append(" 1\n");
  }

  @Override
  public void onScheduleTimer(Decision.ScheduleTimer decision) {
    begin("wake_at").append(' ');
    appendMillis(decision.delayUs());
    output.append(" w\n");
  }

  private StringBuilder begin(String name) {
    return output.append(name).append(' ').append(instance);
  }

  private void appendMillis(long us) {
    long rest = us % MICROS_PER_MILLI;
    output.append(us / MICROS_PER_MILLI).append('.');
    output.append((char) ('0' + rest / 100));
    output.append((char) ('0' + rest / 10 % 10));
    output.append((char) ('0' + rest % 10));
  }
}
