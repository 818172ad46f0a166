package dillcross.simulator;

import dillcross.model.Decision;

/** Writes the decisions of one load balancer as lines of the simulator's protocol. */
final class DecisionWriter implements Decision.Handler {
  private static final int MICROS_PER_MILLI = 1000;
  private static final int DECIMAL = 10;

  private final StringBuilder output;
  private final int instance;

  DecisionWriter(StringBuilder output, int instance) {
    this.output = output;
    this.instance = instance;
  }

  @Override
  public void onSendAttempt(Decision.SendAttempt decision) {
    begin(WireFormat.SEND_ATTEMPT).append(' ').append(decision.requestId()).append(' ');
    if (decision.deadlineUs() == 0) {
      output.append(WireFormat.ABSENT);
    } else {
      appendMillis(decision.deadlineUs());
    }
    output.append(' ').append(decision.endpoint()).append('\n');
  }

  @Override
  public void onReject(Decision.Reject decision) {
    begin(WireFormat.REJECT_REQUEST).append(' ').append(decision.requestId()).append(' ');
    appendMillis(decision.retryAfterUs());
    output.append('\n');
  }

  @Override
  public void onFail(Decision.Fail decision) {
    begin(WireFormat.FAIL_REQUEST).append(' ').append(decision.requestId()).append('\n');
  }

  @Override
  public void onCancelAttempt(Decision.CancelAttempt decision) {
    begin(WireFormat.CANCEL_ATTEMPT).append(' ').append(decision.requestId());
    output.append(' ').append(decision.attempt()).append('\n');
  }

  @Override
  public void onReleaseConnections(Decision.ReleaseConnections decision) {
    begin(WireFormat.RELEASE_CONNECTIONS).append(' ').append(decision.endpoint()).append('\n');
  }

  @Override
  public void onWatchEndpoints(Decision.WatchEndpoints decision) {
    begin(WireFormat.WATCH_ENDPOINTS).append(" 1\n");
  }

  @Override
  public void onScheduleTimer(Decision.ScheduleTimer decision) {
    begin(WireFormat.SCHEDULE_TIMER).append(' ');
    appendMillis(decision.delayUs());
    output.append(" w\n");
  }

  /** Appends the name of a message and the number of the load balancer. */
  private StringBuilder begin(String name) {
    return output.append(name).append(' ').append(instance);
  }

  /** Appends milliseconds with three decimals; without a temporary string, as a run writes many. */
  private void appendMillis(long us) {
    output.append(us / MICROS_PER_MILLI).append('.');
    long micros = us % MICROS_PER_MILLI;
    for (int unit = MICROS_PER_MILLI / DECIMAL; unit > 0; unit /= DECIMAL) {
      output.append((char) ('0' + micros / unit % DECIMAL));
    }
  }
}
