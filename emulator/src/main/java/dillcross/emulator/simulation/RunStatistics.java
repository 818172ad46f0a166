package dillcross.emulator.simulation;

import dillcross.emulator.oracle.ObservedRequest;

/** Counts the requests of a run by outcome. */
final class RunStatistics {
  private long requestCount;
  private long succeededCount;
  private long inTimeCount;
  private long rejectedCount;
  private long failedCount;
  private long excusedCount;
  private long attemptCount;
  private double earnedValue;
  private double possibleValue;

  /** Adds one request, after the end of the run. */
  void add(ObservedRequest request) {
    int status = request.status();
    double value = request.requestClass().priorityWeight();
    boolean isSuccess = status == HttpStatus.OK;
    boolean isRejected = HttpStatus.isRejection(status);
    boolean isInTime = isSuccess && request.answerUs() - request.sentUs() <= request.targetUs();
    boolean isFailed = request.isOver() && !request.isExcused() && !isSuccess && !isRejected;
    requestCount++;
    succeededCount += isSuccess ? 1 : 0;
    inTimeCount += isInTime ? 1 : 0;
    rejectedCount += isRejected ? 1 : 0;
    failedCount += isFailed ? 1 : 0;
    excusedCount += request.isExcused() ? 1 : 0;
    attemptCount += request.attempts().size();
    earnedValue += isInTime ? value : 0;
    possibleValue += request.retryNumber() == 0 && !request.isExcused() ? value : 0;
  }

  long requests() {
    return requestCount;
  }

  /** Requests answered with status 200. */
  long succeeded() {
    return succeededCount;
  }

  /** Requests answered with status 200 within their latency objective. */
  long inTime() {
    return inTimeCount;
  }

  /** Requests that the sidecar rejected. */
  long rejected() {
    return rejectedCount;
  }

  /** Requests that neither succeeded nor were rejected, although an answer was due. */
  long failed() {
    return failedCount;
  }

  /** Requests for which no answer was due, as their client left or no process could answer. */
  long excused() {
    return excusedCount;
  }

  /** Attempts that reached endpoints. */
  long attempts() {
    return attemptCount;
  }

  /** Sum of the priority weights of requests answered in time. */
  double earnedValue() {
    return earnedValue;
  }

  /**
   * Sum of the priority weights of all requests for which an answer was due, not counting retries.
   */
  double possibleValue() {
    return possibleValue;
  }
}
