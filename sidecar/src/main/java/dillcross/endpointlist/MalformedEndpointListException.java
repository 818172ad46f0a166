package dillcross.endpointlist;

/** Thrown for JSON that is not an endpoint list; the message says what is wrong with it. */
public final class MalformedEndpointListException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  MalformedEndpointListException(String reason) {
    super(reason);
  }

  MalformedEndpointListException(String reason, Throwable cause) {
    super(reason, cause);
  }
}
