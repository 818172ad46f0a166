package dillcross.simulator;

/** Input that is not of the simulator's wire; the message names the line. */
public final class MalformedInputException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  MalformedInputException(String message) {
    super(message);
  }

  MalformedInputException(String message, Throwable cause) {
    super(message, cause);
  }
}
