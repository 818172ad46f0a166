package dillcross.membership;

/**
 * A small message of another part of {@code origin}, gossiped to all; of one origin's type the
 * newest boot and version hold.
 */
public record Payload(String origin, long boot, int type, long version, byte[] bytes) {
  /** Of {@code bytes}, at the most. */
  public static final int MAX_BYTES = 256;

  /** Types are 0 to one less. */
  public static final int TYPES = 8;

  private static final int FIXED_BYTES = 40;

  /** Whether it takes the other's place, of the same origin and type. */
  boolean supersedes(Payload other) {
    return boot != other.boot ? boot > other.boot : version > other.version;
  }

  /** Bytes that it takes in a datagram, at the most. */
  int size() {
    return FIXED_BYTES + origin.length() + bytes.length;
  }
}
