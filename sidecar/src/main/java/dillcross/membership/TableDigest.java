package dillcross.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * The digest of a member table: for each bucket of member names, the sum of the hashes of the
 * records and payloads of live members. Tables with equal sums are taken to be equal. The digest is
 * part of the wire protocol: all versions have to compute the same sums. Dead members are left out,
 * as each member forgets them at another time.
 */
final class TableDigest {
  /** The number of buckets, and of sums in a digest. */
  static final int BUCKETS = 32;

  private static final int BUCKET_SHIFT = 27; // keeps the highest 5 of a hash's 32 bits
  private static final int NAME_FACTOR = 31;
  private static final int GOLDEN_RATIO_32 = 0x9E3779B9;
  private static final long GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15L;
  private static final long XXHASH_PRIME_2 = 0xC2B2AE3D27D4EB4FL;
  private static final long XXHASH_PRIME_3 = 0x165667B19E3779F9L;
  private static final long SPLITMIX_FACTOR = 0xBF58476D1CE4E5B9L;
  private static final int SPLITMIX_SHIFT = 29;

  private TableDigest() {}

  /** The digest of the live members of the table and of the local member. */
  static int[] of(MemberTable table, LocalMember local) {
    int[] sums = new int[BUCKETS];
    for (MemberEntry entry : table.all()) {
      if (entry.isLive()) {
        add(sums, entry.record(), entry.payloads());
      }
    }
    add(sums, local.self(), local.payloads());
    return sums;
  }

  private static void add(int[] sums, MemberRecord record, Collection<Payload> payloads) {
    sums[bucket(record.name())] += hash(record, payloads);
  }

  private static int hash(MemberRecord record, Collection<Payload> payloads) {
    long mixed =
        record.name().hashCode() * (long) NAME_FACTOR
            + record.boot() * GOLDEN_RATIO_64
            + record.incarnation() * XXHASH_PRIME_2;
    for (Payload payload : payloads) {
      mixed += (payload.version() * Payload.TYPES + payload.type()) * XXHASH_PRIME_3;
    }
    mixed = (mixed ^ mixed >>> SPLITMIX_SHIFT) * SPLITMIX_FACTOR;
    return (int) (mixed >>> Integer.SIZE);
  }

  private static int bucket(String name) {
    int hash = name.hashCode() * GOLDEN_RATIO_32;
    return hash >>> BUCKET_SHIFT;
  }

  /** The members of the table, dead ones included, that are in buckets whose sums differ. */
  static List<MemberEntry> differing(MemberTable table, int[] ownDigest, int[] otherDigest) {
    List<MemberEntry> differing = new ArrayList<>();
    for (MemberEntry entry : table.all()) {
      int bucket = bucket(entry.record().name());
      if (ownDigest[bucket] != otherDigest[bucket]) {
        differing.add(entry);
      }
    }
    return differing;
  }
}
