package dillcross.emulator.simulation;

/**
 * The faults that are active at one endpoint. The {@link FaultInjector} sets them; the parts of the
 * endpoint only read them.
 */
final class EndpointFaults {
  /** When a connection is reset, relative to the request on it. */
  enum ResetMoment {
    /** As soon as the head of the request has arrived. */
    BEFORE_WORK,
    /** After the request was carried out, before any byte of the response. */
    AFTER_WORK,
    /** After part of the response was sent. */
    WITHIN_RESPONSE;

    /** The moment that a scenario's {@code mode} names; {@link #AFTER_WORK} for any other word. */
    static ResetMoment of(String mode) {
      return switch (mode) {
        case "before" -> BEFORE_WORK;
        case "answer" -> WITHIN_RESPONSE;
        default -> AFTER_WORK;
      };
    }
  }

  private double slowdownFactor = 1;
  private double errorShare;
  private double malformedShare;
  private double resetShare;
  private ResetMoment resetMoment = ResetMoment.AFTER_WORK;
  private int silenceCount;
  private int maxConnections = Integer.MAX_VALUE;

  /** Multiplies the time that each request takes; factors of overlapping faults multiply. */
  void multiplySlowdown(double factor) {
    slowdownFactor *= factor;
  }

  /** Factor on the time that each request takes; 1 without a fault. */
  double slowdownFactor() {
    return slowdownFactor;
  }

  /** Sets the share of responses that are server errors. */
  void setErrorShare(double share) {
    errorShare = share;
  }

  double errorShare() {
    return errorShare;
  }

  /** Sets the share of responses that are not valid HTTP. */
  void setMalformedShare(double share) {
    malformedShare = share;
  }

  double malformedShare() {
    return malformedShare;
  }

  /** Sets the share of requests whose connection is reset, and the moment of the reset. */
  void setResets(ResetMoment moment, double share) {
    resetMoment = moment;
    resetShare = share;
  }

  double resetShare() {
    return resetShare;
  }

  ResetMoment resetMoment() {
    return resetMoment;
  }

  /** Starts or ends one fault that suppresses all responses; such faults may overlap. */
  void setSilent(boolean isStarting) {
    silenceCount += isStarting ? 1 : -1;
  }

  /** Whether results are discarded instead of sent. */
  boolean isSilent() {
    return silenceCount > 0;
  }

  /** Sets the number of open connections above which requests are rejected. */
  void setMaxConnections(int count) {
    maxConnections = count;
  }

  int maxConnections() {
    return maxConnections;
  }
}
