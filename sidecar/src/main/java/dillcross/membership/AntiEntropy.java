package dillcross.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/** Compares member tables by digests, and sends what differs. */
final class AntiEntropy {
  private static final int BUCKETS = 32;
  private static final int BUCKET_SHIFT = 27; // of 32 bits, for so many buckets
  private static final int MAX_PACKETS = 3; // to one digest
  private static final int[] NO_DIGEST = {};

  private final MembershipSettings settings;
  private final MemberTable table;
  private final LocalMember local;
  private final Outbox outbox;
  private int rotation; // which part of the differing buckets is sent next

  AntiEntropy(MembershipSettings settings, MemberTable table, LocalMember local, Outbox outbox) {
    this.settings = settings;
    this.table = table;
    this.local = local;
    this.outbox = outbox;
  }

  /** A digest of the live members; the dead are forgotten at times of each one's own. */
  int[] digest() {
    int[] sums = new int[BUCKETS];
    for (MemberEntry entry : table.all()) {
      if (entry.isLive()) {
        add(sums, entry.record, entry.payloads);
      }
    }
    add(sums, local.self(), local.payloads());
    return sums;
  }

  private static void add(int[] sums, MemberRecord record, Map<Integer, Payload> payloads) {
    long mix =
        record.name().hashCode() * 31L
            + record.boot() * 0x9E3779B97F4A7C15L
            + record.incarnation() * 0xC2B2AE3D27D4EB4FL;
    for (Payload payload : payloads.values()) {
      mix += (payload.version() * 8 + payload.type()) * 0x165667B19E3779F9L;
    }
    mix = (mix ^ mix >>> 29) * 0xBF58476D1CE4E5B9L;
    sums[bucket(record.name())] += (int) (mix >>> 32);
  }

  private static int bucket(String name) {
    int hash = name.hashCode() * 0x9E3779B9;
    return hash >>> BUCKET_SHIFT;
  }

  /** Sends what is in the buckets that differ, as far as some packets carry it. */
  void onDigest(String receiver, Packet packet) {
    if (packet.digest().length != BUCKETS) {
      return;
    }
    int[] ownDigest = digest();
    List<MemberEntry> differing = differing(ownDigest, packet.digest());
    boolean wantsDelta =
        packet.kind() == Packet.Kind.DIGEST && !Arrays.equals(ownDigest, packet.digest());
    if ((differing.isEmpty() && !wantsDelta) || !outbox.hasBudget()) {
      return;
    }
    if (!differing.isEmpty()) {
      Collections.rotate(differing, -(rotation % differing.size()));
    }
    ArrayDeque<MemberEntry> remaining = new ArrayDeque<>(differing);
    sendDelta(receiver, remaining, wantsDelta ? ownDigest : NO_DIGEST, true);
    for (int i = 1; i < MAX_PACKETS && outbox.hasBudget() && !remaining.isEmpty(); i++) {
      sendDelta(receiver, remaining, NO_DIGEST, false);
    }
  }

  private List<MemberEntry> differing(int[] ownDigest, int[] otherDigest) {
    List<MemberEntry> differing = new ArrayList<>();
    for (MemberEntry entry : table.all()) {
      int bucket = bucket(entry.record.name());
      if (ownDigest[bucket] != otherDigest[bucket]) {
        differing.add(entry);
      }
    }
    return differing;
  }

  private void sendDelta(
      String receiver, ArrayDeque<MemberEntry> remaining, int[] digest, boolean withOwnPayloads) {
    List<MemberRecord> records = new ArrayList<>();
    List<Payload> payloads = new ArrayList<>();
    MemberRecord self = local.self();
    Packet bare = new Packet(Packet.Kind.DELTA, 0, self, null, digest, List.of(), List.of());
    int space = settings.datagramBytes() - bare.size();
    while (!remaining.isEmpty()) {
      MemberEntry entry = remaining.peek();
      if (size(entry) > space && !records.isEmpty()) {
        break;
      }
      space -= entry.record.size();
      records.add(entry.record);
      space = addFitting(entry.payloads, payloads, space);
      remaining.poll();
      rotation++;
    }
    if (withOwnPayloads) {
      addFitting(local.payloads(), payloads, space);
    }
    outbox.put(receiver, new Packet(Packet.Kind.DELTA, 0, self, null, digest, records, payloads));
  }

  private static int size(MemberEntry entry) {
    int payloads = entry.payloads.values().stream().mapToInt(Payload::size).sum();
    return entry.record.size() + payloads;
  }

  /** Adds payloads while they fit; returns the space that is left, below 0 once one did not. */
  private static int addFitting(Map<Integer, Payload> from, List<Payload> to, int space) {
    int remaining = space;
    for (Payload payload : from.values()) {
      remaining -= payload.size();
      if (remaining >= 0) {
        to.add(payload);
      }
    }
    return remaining;
  }
}
