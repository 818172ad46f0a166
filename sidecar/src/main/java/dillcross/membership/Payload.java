package dillcross.membership;

/**
 * A small word of another part of {@code origin}, carried to all; of one origin's type the newest
 * boot and version hold.
 */
public record Payload(String origin, long boot, int type, long version, byte[] bytes) {
  public static final int MOST_BYTES = 256;
  public static final int MOST_TYPES = 8;
  private static final int FIXED = 40;

  boolean supersedes(Payload other) {
    return boot != other.boot ? boot > other.boot : version > other.version;
  }

  int size() {
    return FIXED + origin.length() + bytes.length;
  }
}
