package dillcross.sidecar;

/** An endpoint list that can't be read; the message says what is wrong. */
public final class MalformedEndpointListException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  MalformedEndpointListException(String reason) {
    super(reason);
  }
}
