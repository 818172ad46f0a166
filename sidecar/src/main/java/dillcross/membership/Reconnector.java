package dillcross.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Pings members that were declared dead, and seeds at which no live member is known. This joins a
 * fleet at the start, and heals a partition after which both sides have declared each other dead.
 */
final class Reconnector {
  private static final int MAX_PINGS = 1;
  private static final int MAX_PINGS_WHILE_ALONE = 6;
  private static final long NO_SEQUENCE = 0; // the ping belongs to no probe

  private final MembershipSettings settings;
  private final Random random;
  private final MemberTable table;
  private final LocalMember local;
  private final Outbox outbox;

  Reconnector(
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

  /** Pings one dead member or seed, chosen at random, or several while no other member is live. */
  void pingLost() {
    List<String> lost = new ArrayList<>();
    for (MemberEntry entry : table.all()) {
      if (entry.isDead()) {
        lost.add(entry.record().address());
      }
    }
    for (String seed : settings.seeds()) {
      if (!seed.equals(local.self().address()) && !table.hasLiveAddress(seed)) {
        lost.add(seed);
      }
    }
    Collections.shuffle(lost, random);
    int wanted = table.liveCount() == 0 ? MAX_PINGS_WHILE_ALONE : MAX_PINGS;
    for (String address : lost.subList(0, Math.min(wanted, lost.size()))) {
      outbox.sendPing(address, NO_SEQUENCE, deadRecordAt(address));
    }
  }

  /** The record of the dead member at that address, for it to refute; empty if there is none. */
  private List<MemberRecord> deadRecordAt(String address) {
    return table.all().stream()
        .filter(MemberEntry::isDead)
        .map(MemberEntry::record)
        .filter(record -> record.address().equals(address))
        .limit(1)
        .toList();
  }
}
