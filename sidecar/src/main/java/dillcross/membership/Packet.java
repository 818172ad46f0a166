package dillcross.membership;

import java.util.List;

/**
 * One datagram. {@code sequence} ties an answer to what was asked; {@code about} is whom a PROBE
 * asks to be pinged; {@code digest} is of the sender's table, by bucket.
 */
public record Packet(
    Kind kind,
    long sequence,
    Claim from,
    Claim about,
    int[] digest,
    List<Claim> claims,
    List<Payload> payloads) {
  /** What it asks for, or answers. */
  public enum Kind {
    /** Answer with ACK. */
    PING,
    /** Ping {@code about} for me: ACK if it answers, UNHEARD if it does not. */
    PROBE,
    ACK,
    UNHEARD,
    /** Here is my digest: tell me where yours differs, and yours. */
    DIGEST,
    /** What differs; with a digest it wants the same back. */
    TOLD
  }

  private static final int FIXED = 48; // the frame with the name of the fleet
  static final int OF_DIGEST = 6; // a bucket

  /** Bytes that it takes at the most, but for the name of the fleet. */
  public int size() {
    return FIXED
        + from.size()
        + (about == null ? 0 : about.size())
        + OF_DIGEST * digest.length
        + claims.stream().mapToInt(Claim::size).sum()
        + payloads.stream().mapToInt(Payload::size).sum();
  }
}
