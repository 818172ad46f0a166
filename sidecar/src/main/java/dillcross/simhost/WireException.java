package dillcross.simhost;

/** Input that is not of the wire; the message names the line. */
public final class WireException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  WireException(String message) {
    super(message);
  }
}
