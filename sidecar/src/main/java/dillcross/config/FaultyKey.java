package dillcross.config;

/** A value of the configuration that can't be used; the message names its key. */
public final class FaultyKey extends RuntimeException {
  private static final long serialVersionUID = 1L;

  public FaultyKey(String key, String what) {
    super(key + ": " + what);
  }
}
