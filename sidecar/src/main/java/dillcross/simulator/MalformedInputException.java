package dillcross.simulator;

/** Thrown for input that violates the simulator's protocol; the message names the line. */
public final class MalformedInputException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  MalformedInputException(String message) {
    super(message);
  }

  MalformedInputException(String message, Throwable cause) {
    super(message, cause);
  }
}
