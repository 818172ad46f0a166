package dillcross.membership;

import java.util.List;

/**
 * One datagram of the protocol.
 *
 * @param kind what the packet asks for or answers
 * @param sequence number of the probe that the packet belongs to, chosen by the requester; 0 for
 *     none
 * @param sender the sender's own record
 * @param target the record of the target of a {@code PING_REQUEST}, or of the target that answered
 *     a relayed probe; null in all other packets
 * @param digest digest of the sender's member table, one sum a bucket; an empty array for none;
 *     callers must not modify it
 * @param records gossiped records of members
 * @param payloads gossiped payloads of members
 */
public record Packet(
    Kind kind,
    long sequence,
    MemberRecord sender,
    MemberRecord target,
    int[] digest,
    List<MemberRecord> records,
    List<Payload> payloads) {
  /** What a packet asks for or answers. The wire carries the ordinal, so the order is fixed. */
  public enum Kind {
    /** Probes the receiver, which answers with ACK. */
    PING,
    /** Asks a helper to probe {@code target}; it answers with ACK, or NACK if the probe fails. */
    PING_REQUEST,
    /** Answers a PING, or a PING_REQUEST whose target has answered. */
    ACK,
    /** Answers a PING_REQUEST whose target has not answered. */
    NACK,
    /** Anti-entropy: carries the sender's digest and asks for the members that differ. */
    DIGEST,
    /** Anti-entropy: carries differing members; with a digest, it asks for the same in return. */
    DELTA
  }

  /** The digest of a packet that carries none. */
  static final int[] NO_DIGEST = {};

  private static final int FIXED_BYTES = 48; // most bytes that the numbers and the framing take
  private static final int BYTES_PER_BUCKET = 6; // most bytes that one sum of the digest takes

  /** An upper bound of the encoded bytes, without the name of the fleet that the codec adds. */
  public int size() {
    return FIXED_BYTES
        + sender.size()
        + (target == null ? 0 : target.size())
        + BYTES_PER_BUCKET * digest.length
        + records.stream().mapToInt(MemberRecord::size).sum()
        + payloads.stream().mapToInt(Payload::size).sum();
  }
}
