package dillcross.membership;

import java.util.List;

/**
 * One datagram.
 *
 * @param sequence ties an answer to what it answers
 * @param sender the sender's own record
 * @param about who is to be pinged, of a {@code PING_REQUEST}, or who answered; null for nobody
 * @param digest of the sender's member table, by bucket; empty for none
 * @param records of members
 * @param payloads of members
 */
public record Packet(
    Kind kind,
    long sequence,
    MemberRecord sender,
    MemberRecord about,
    int[] digest,
    List<MemberRecord> records,
    List<Payload> payloads) {
  /** What it asks for, or answers. The order is that of the wire. */
  public enum Kind {
    /** Answer with ACK. */
    PING,
    /** Ping {@code about} for me: ACK if it answers, NACK if it does not. */
    PING_REQUEST,
    /** Answers a PING, or a PING_REQUEST whose ping was answered. */
    ACK,
    /** Answers a PING_REQUEST whose ping was not answered. */
    NACK,
    /** Here is my digest: send me where yours differs, and yours. */
    DIGEST,
    /** What differs; with a digest it wants the same back. */
    DELTA
  }

  private static final int FIXED_BYTES = 48; // the frame with the name of the fleet
  private static final int BYTES_PER_BUCKET = 6;

  /** Bytes that it takes at the most, but for the name of the fleet. */
  public int size() {
    return FIXED_BYTES
        + sender.size()
        + (about == null ? 0 : about.size())
        + BYTES_PER_BUCKET * digest.length
        + records.stream().mapToInt(MemberRecord::size).sum()
        + payloads.stream().mapToInt(Payload::size).sum();
  }
}
