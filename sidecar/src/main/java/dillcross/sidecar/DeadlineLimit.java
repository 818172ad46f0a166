package dillcross.sidecar;

/**
 * Until when requests may be answered, whatever their clients' timeouts allow; set by a shutdown,
 * after which the process may be killed. Times are in microseconds. Belongs to the selector thread.
 */
final class DeadlineLimit {
  private long answerUs = Long.MAX_VALUE;
  private long arrivalUs = Long.MAX_VALUE;

  /** Sets the limits; returns whether that changes one. */
  boolean set(long newAnswerUs, long newArrivalUs) {
    boolean isChange = newAnswerUs != answerUs || newArrivalUs != arrivalUs;
    answerUs = newAnswerUs;
    arrivalUs = newArrivalUs;
    return isChange;
  }

  /** Until when a request is answered that has arrived completely. */
  long answerUs() {
    return answerUs;
  }

  /** Until when a request has to arrive completely. */
  long arrivalUs() {
    return arrivalUs;
  }
}
