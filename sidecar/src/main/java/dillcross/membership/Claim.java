package dillcross.membership;

/**
 * What somebody says of a member. {@code boot} tells a process from the one that had its name
 * before (microseconds since 1970 at its start, raised where that went back); {@code incarnation}
 * is raised by the member alone, to refute what is said of it.
 *
 * @param by who suspects it; empty otherwise
 */
public record Claim(
    String name, String address, String zone, long boot, long incarnation, State state, String by) {
  private static final int FIXED =
      32; // two numbers, the state, the marks round them: more than any encoding takes

  /** Whether it tells something newer than the other, of the same name. */
  boolean supersedes(Claim other) {
    return boot != other.boot
        ? boot > other.boot
        : incarnation != other.incarnation
            ? incarnation > other.incarnation
            : state.compareTo(other.state) > 0;
  }

  Claim as(State now, String accuser) {
    return new Claim(name, address, zone, boot, incarnation, now, accuser);
  }

  /** Bytes that it takes in a datagram, at the most. */
  int size() {
    return FIXED + name.length() + address.length() + zone.length() + by.length();
  }
}
