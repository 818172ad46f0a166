package dillcross.membership;

/**
 * A small message that a subsystem of member {@code origin} disseminates to all members. Of two
 * payloads with one origin and type, the one with the greater boot, or else the greater version,
 * supersedes the other.
 *
 * @param origin the name of the member that published it
 * @param boot the boot of that member; see {@link MemberRecord}
 * @param type number of the subsystem that it belongs to, 0 to {@link #TYPES} - 1
 * @param version number of the publication, counted from 1 for each type
 * @param bytes the content, at most {@link #MAX_BYTES}; callers must not modify it
 */
public record Payload(String origin, long boot, int type, long version, byte[] bytes) {
  /** The largest content, in bytes. */
  public static final int MAX_BYTES = 256;

  /** The number of payload types. */
  public static final int TYPES = 8;

  private static final int FIXED_BYTES = 40; // most bytes that the numbers and the framing take

  /** Whether a payload of that type and size may be published. */
  static boolean isValid(int type, int byteCount) {
    return type >= 0 && type < TYPES && byteCount <= MAX_BYTES;
  }

  /** Whether the type and size of this payload are within their bounds. */
  boolean isValid() {
    return isValid(type, bytes.length);
  }

  /** Whether this payload replaces the other one, which has the same origin and type. */
  boolean supersedes(Payload other) {
    return boot != other.boot ? boot > other.boot : version > other.version;
  }

  /** An upper bound of the bytes that this payload takes in a datagram. */
  int size() {
    return FIXED_BYTES + origin.length() + bytes.length;
  }
}
