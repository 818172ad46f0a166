package dillcross.emulator.oracle;

import dillcross.emulator.scenario.Scenario;
import java.util.ArrayList;
import java.util.List;

/**
 * One request as the world sees it: what a client sent, what came to endpoints of it, and what came
 * back.
 */
public final class ObservedRequest {
  /** An attempt of it, as an endpoint saw it. */
  public static final class Attempt {
    public final String endpoint;
    public final String zone;
    public final int cell;
    public final long sentUs;
    public boolean taken; // carried out or waiting for it: it may run
    public boolean read; // its sidecar has read all of its answer
    public long endedUs; // 0 while neither answered nor given up

    Attempt(String endpoint, String zone, int cell, long sentUs) {
      this.endpoint = endpoint;
      this.zone = zone;
      this.cell = cell;
      this.sentUs = sentUs;
    }
  }

  public final String id;
  public final String key; // of the work behind it, the same for a client's retry
  public final Scenario.RequestClass requestClass;
  public final int sidecar;
  public final int attempt;
  public final long bornUs;
  public long sentUs = Long.MAX_VALUE; // its last byte; unknown while it still comes
  public long answerUs; // when the first byte of its answer was sent; 0 while there is none
  public int status; // of that
  public int answers;
  public long leftUs; // when its client closed its connection; 0 while it has not
  public boolean excused; // its client left, or its sidecar was ended under it
  public boolean
      orphan; // that sidecar's process ended: what it wrote its system may send later than it would
  // have allowed
  public boolean over;
  public final List<Attempt> attempts = new ArrayList<>(2);

  public ObservedRequest(
      String id,
      String key,
      Scenario.RequestClass requestClass,
      int sidecar,
      int attempt,
      long bornUs) {
    this.id = id;
    this.key = key;
    this.requestClass = requestClass;
    this.sidecar = sidecar;
    this.attempt = attempt;
    this.bornUs = bornUs;
  }

  public long timeoutUs() {
    return Math.round(requestClass.timeoutMs() * 1000);
  }

  public long targetUs() {
    return Math.round(requestClass.targetMs() * 1000);
  }

  /**
   * When the last of its attempts ended that endpoints saw; {@link Long#MAX_VALUE} while one is
   * out.
   */
  long busyUntilUs() {
    long until = sentUs == Long.MAX_VALUE ? bornUs : sentUs;
    for (Attempt attempt : attempts) {
      until = attempt.endedUs == 0 ? Long.MAX_VALUE : Math.max(until, attempt.endedUs);
    }
    return until;
  }
}
