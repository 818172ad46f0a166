package dillcross.config;

import java.util.Optional;

/** Thrown for a configuration value that is missing or invalid. */
public final class InvalidConfigException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final String location; // null if unknown
  private final String key;
  private final String reason;

  /** The message is {@code key: reason}. */
  public InvalidConfigException(String key, String reason) {
    super(key + ": " + reason);
    location = null;
    this.key = key;
    this.reason = reason;
  }

  /**
   * The message is {@code location, key: reason}.
   *
   * @param location the file, and the line if that is known
   */
  public InvalidConfigException(String location, String key, String reason) {
    super(location + ", " + key + ": " + reason);
    this.location = location;
    this.key = key;
    this.reason = reason;
  }

  /** The file and line of the value; empty where only the key is known. */
  public Optional<String> location() {
    return Optional.ofNullable(location);
  }

  /** The path of the value; the file where the file as a whole is invalid. */
  public String key() {
    return key;
  }

  /** What is wrong with the value. */
  public String reason() {
    return reason;
  }
}
