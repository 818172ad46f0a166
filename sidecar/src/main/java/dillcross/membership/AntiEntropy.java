package dillcross.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Anti-entropy (push-pull): compares member tables by their digests, and sends the records and
 * payloads of members that differ. This repairs updates that gossip has missed, for instance during
 * a partition.
 */
final class AntiEntropy {
  private static final int MAX_DELTAS = 3; // DELTA packets in answer to one digest

  private final MembershipSettings settings;
  private final Random random;
  private final MemberTable table;
  private final LocalMember local;
  private final Outbox outbox;
  private int rotation; // where the next answer starts, so that all members are sent in turn

  AntiEntropy(
      MembershipSettings settings,
      Random random,
      MemberTable table,
      LocalMember local,
      Outbox outbox) {
    this.settings = settings;
    this.random = random;
    this.table = table;
    this.local = local;
    this.outbox = outbox;
  }

  /** Sends this member's digest to a random live member; does nothing while there is none. */
  void sendDigestToAny() {
    List<MemberRecord> others = table.liveRecords();
    if (!others.isEmpty()) {
      MemberRecord other = others.get(random.nextInt(others.size()));
      sendDigest(other.address());
    }
  }

  /** Sends this member's digest, which asks the receiver for the members that differ. */
  void sendDigest(String receiver) {
    outbox.sendDigest(receiver, TableDigest.of(table, local));
  }

  /**
   * Answers a digest with the members that differ, in at most {@link #MAX_DELTAS} packets and while
   * the byte budget lasts.
   */
  void onDigest(Packet packet) {
    if (packet.digest().length != TableDigest.BUCKETS) {
      return;
    }
    int[] ownDigest = TableDigest.of(table, local);
    List<MemberEntry> differing = TableDigest.differing(table, ownDigest, packet.digest());
    boolean wantsDelta =
        packet.kind() == Packet.Kind.DIGEST && !Arrays.equals(ownDigest, packet.digest());
    if ((differing.isEmpty() && !wantsDelta) || !outbox.hasBudget()) {
      return;
    }
    if (!differing.isEmpty()) {
      Collections.rotate(differing, -(rotation % differing.size()));
    }
    int[] sentDigest = wantsDelta ? ownDigest : Packet.NO_DIGEST;
    sendDeltas(packet.sender().address(), new ArrayDeque<>(differing), sentDigest);
  }

  /**
   * Sends the remaining members. Only the first packet carries the digest and this member's own
   * payloads.
   */
  private void sendDeltas(String receiver, ArrayDeque<MemberEntry> remaining, int[] digest) {
    sendDelta(receiver, remaining, digest, local.payloads());
    for (int i = 1; i < MAX_DELTAS && outbox.hasBudget() && !remaining.isEmpty(); i++) {
      sendDelta(receiver, remaining, Packet.NO_DIGEST, List.of());
    }
  }

  private void sendDelta(
      String receiver,
      ArrayDeque<MemberEntry> remaining,
      int[] digest,
      Collection<Payload> ownPayloads) {
    List<MemberRecord> records = new ArrayList<>();
    List<Payload> payloads = new ArrayList<>();
    Packet packet = new Packet(Packet.Kind.DELTA, 0, local.self(), null, digest, records, payloads);
    int space = settings.datagramBytes() - packet.size();
    while (!remaining.isEmpty()) {
      MemberEntry entry = remaining.peek();
      if (entry.size() > space && !records.isEmpty()) {
        break;
      }
      space -= entry.record().size();
      records.add(entry.record());
      space = addFitting(entry.payloads(), payloads, space);
      remaining.poll();
      rotation++;
    }
    addFitting(ownPayloads, payloads, space);
    outbox.sendWithoutGossip(receiver, packet);
  }

  /**
   * Adds payloads while they fit into {@code space} bytes; returns the bytes left, which are
   * negative if a payload did not fit.
   */
  private static int addFitting(Collection<Payload> from, List<Payload> to, int space) {
    int remaining = space;
    for (Payload payload : from) {
      remaining -= payload.size();
      if (remaining >= 0) {
        to.add(payload);
      }
    }
    return remaining;
  }
}
