package dillcross.emulator.oracle;

import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.time.TimeUnits;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * One request as observed outside the sidecars: what its client sent, which attempts of it reached
 * endpoints, and what came back. Clients report what they do through the public methods; answers
 * and attempts are recorded by the {@link Oracle}. Times are virtual and in µs.
 */
public final class ObservedRequest {
  /** An attempt of the request, as an endpoint observed it. */
  public static final class Attempt {
    private final EndpointLocation location;
    private final long sentUs;
    private boolean mayRun;
    private boolean isAnswerRead;
    private long endedUs; // 0 while the attempt is neither answered nor abandoned

    Attempt(EndpointLocation location, long sentUs) {
      this.location = location;
      this.sentUs = sentUs;
    }

    EndpointLocation location() {
      return location;
    }

    String endpoint() {
      return location.endpoint();
    }

    /** When the sidecar sent the first byte of the attempt's head. */
    long sentUs() {
      return sentUs;
    }

    /** Records that the endpoint accepted the attempt. */
    void accept() {
      mayRun = true;
    }

    /** Whether the endpoint accepted the attempt, which then runs or waits to run. */
    boolean mayRun() {
      return mayRun;
    }

    /** Records that the sidecar has read all of the endpoint's answer. */
    public void markAnswerRead() {
      isAnswerRead = true;
    }

    boolean isAnswerRead() {
      return isAnswerRead;
    }

    /** Records that the attempt was answered or abandoned; only the first call has an effect. */
    public void end(long atUs) {
      if (endedUs == 0) {
        endedUs = atUs;
      }
    }
  }

  private static final long NOT_SENT = Long.MAX_VALUE;

  private final String id;
  private final String key;
  private final Scenario.RequestClass requestClass;
  private final int sidecar;
  private final int retryNumber;
  private final long createdUs;
  private final List<Attempt> attempts = new ArrayList<>(2);
  private long sentUs = NOT_SENT;
  private long answerUs; // 0 while the request is not answered
  private int status;
  private int answerCount;
  private long clientDisconnectedUs; // 0 while the client has not closed its connection
  private boolean isExcused;
  private boolean isOrphaned;
  private boolean isOver;

  /**
   * A request that a client is about to send.
   *
   * @param key identifies the work, and is the same for a client's retry
   * @param sidecar index of the sidecar that receives the request
   * @param retryNumber 0 for the first request, 1 for the client's first retry
   * @param createdUs when the client created the request
   */
  public ObservedRequest(
      String id,
      String key,
      Scenario.RequestClass requestClass,
      int sidecar,
      int retryNumber,
      long createdUs) {
    this.id = id;
    this.key = key;
    this.requestClass = requestClass;
    this.sidecar = sidecar;
    this.retryNumber = retryNumber;
    this.createdUs = createdUs;
  }

  /** Identifier of the request, unique within the run. */
  public String id() {
    return id;
  }

  /** Identifies the work behind the request, across retries of the client. */
  public String key() {
    return key;
  }

  /** The request class that determines deadline, effect and work. */
  public Scenario.RequestClass requestClass() {
    return requestClass;
  }

  int sidecar() {
    return sidecar;
  }

  /** How many requests of the client for the same work came before this one. */
  public int retryNumber() {
    return retryNumber;
  }

  long createdUs() {
    return createdUs;
  }

  /** The attempts that reached endpoints, in the order of arrival. */
  public List<Attempt> attempts() {
    return Collections.unmodifiableList(attempts);
  }

  void addAttempt(Attempt attempt) {
    attempts.add(attempt);
  }

  // ---- Client

  /** Records that the client has sent the request's last byte. */
  public void markSent(long atUs) {
    sentUs = atUs;
  }

  /** Records that the client sends the whole request again on a new connection. */
  public void markResending() {
    sentUs = NOT_SENT;
  }

  /** Whether the client has sent the request's last byte. */
  public boolean isSent() {
    return sentUs != NOT_SENT;
  }

  /** When the client sent the request's last byte; {@link Long#MAX_VALUE} while it has not. */
  public long sentUs() {
    return sentUs;
  }

  /** Records that the client closed its connection before the answer. */
  public void markClientDisconnected(long atUs) {
    isExcused = true;
    clientDisconnectedUs = atUs;
  }

  /** When the client closed its connection; 0 if it has not. */
  long clientDisconnectedUs() {
    return clientDisconnectedUs;
  }

  /** Records that no sidecar process accepted the client's connection. */
  public void markNotAccepted() {
    isExcused = true;
  }

  /** Records that the sidecar's process ended before the answer. */
  public void markOrphaned() {
    isExcused = true;
    isOrphaned = true;
    isOver = true;
  }

  /**
   * Whether the sidecar's process ended before the answer. Attempts that it had written may still
   * arrive at endpoints, later than the process would have permitted.
   */
  boolean isOrphaned() {
    return isOrphaned;
  }

  /** Records that the sidecar closed the connection before the request had arrived completely. */
  public void markRejectedUnsent() {
    isExcused = true;
    isOver = true;
  }

  /** Whether no answer is due, because the client left or no sidecar process could answer. */
  public boolean isExcused() {
    return isExcused;
  }

  // ---- Answer

  /** Counts one more answer, and returns the number of answers so far. */
  int countAnswer() {
    answerCount++;
    return answerCount;
  }

  /** Records the first answer; {@code finalStatus} is 0 if the answer was cut off. */
  void recordAnswer(int finalStatus, long atUs) {
    isOver = true;
    status = finalStatus;
    answerUs = atUs;
  }

  /** Records that no answer to the request is expected any more. */
  void markOver() {
    isOver = true;
  }

  /** Whether the request was answered, or no answer is expected any more. */
  public boolean isOver() {
    return isOver;
  }

  /** HTTP status of the answer; 0 if there is none or it was cut off. */
  public int status() {
    return status;
  }

  /** When the sidecar sent the first byte of the answer; 0 while the request is not answered. */
  public long answerUs() {
    return answerUs;
  }

  /** Time in µs after the request's last byte within which the answer is due. */
  public long timeoutUs() {
    return TimeUnits.toMicros(requestClass.timeoutMs());
  }

  /** Latency objective of the request's class, in µs. */
  public long targetUs() {
    return TimeUnits.toMicros(requestClass.targetMs());
  }

  /**
   * When the last attempt ended that reached an endpoint, or the request was sent if none did;
   * {@link Long#MAX_VALUE} while an attempt is in flight.
   */
  long busyUntilUs() {
    long untilUs = isSent() ? sentUs : createdUs;
    for (Attempt attempt : attempts) {
      untilUs = attempt.endedUs == 0 ? Long.MAX_VALUE : Math.max(untilUs, attempt.endedUs);
    }
    return untilUs;
  }
}
