package dillcross.config;

/** A value of the configuration that can't be used. */
public final class InvalidConfigException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final String key;
  private final String reason;

  /** The message is {@code key: reason}. */
  public InvalidConfigException(String key, String reason) {
    super(key + ": " + reason);
    this.key = key;
    this.reason = reason;
  }

  /** The path of the value, or the file where all of it is unusable. */
  public String key() {
    return key;
  }

  /** What is wrong with it. */
  public String reason() {
    return reason;
  }
}
