package dillcross.membership;

/**
 * A small message that a subsystem of member {@code origin} disseminates to all members. Of one
 * origin and type, the payload with the greatest boot and then the greatest version holds.
 *
 * @param origin the name of the member that published it
 * @param boot the boot of that member, see {@link MemberRecord}
 * @param type which subsystem it belongs to, 0 to {@link #TYPES} - 1
 * @param version counts the publications of that type, from 1
 * @param bytes the content, at most {@link #MAX_BYTES}; not to be changed
 */
public record Payload(String origin, long boot, int type, long version, byte[] bytes) {
  /** The largest content, in bytes. */
  public static final int MAX_BYTES = 256;

  /** How many types there are. */
  public static final int TYPES = 8;

  private static final int FIXED_BYTES = 40; // an upper bound of numbers and framing

  /** Whether a payload of that type and size may be published. */
  static boolean isValid(int type, int byteCount) {
    return type >= 0 && type < TYPES && byteCount <= MAX_BYTES;
  }

  /** Whether its type and size are within their bounds. */
  boolean isValid() {
    return isValid(type, bytes.length);
  }

  /** Whether it replaces the other payload of the same origin and type. */
  boolean supersedes(Payload other) {
    return boot != other.boot ? boot > other.boot : version > other.version;
  }

  /** An upper bound of its bytes in a datagram. */
  int size() {
    return FIXED_BYTES + origin.length() + bytes.length;
  }
}
