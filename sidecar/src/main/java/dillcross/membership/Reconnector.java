package dillcross.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Contacts those who were lost, as they may be there again and nobody else would ask: a part that
 * was cut off for long, or a seed.
 */
final class Reconnector {
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

  /** Pings some that were lost; more while nobody is known. */
  void contactLost() {
    List<String> lost = new ArrayList<>();
    for (MemberEntry entry : table.all()) {
      if (entry.record.state() == MemberState.DEAD) {
        lost.add(entry.record.address());
      }
    }
    for (String seed : settings.seeds()) {
      if (!seed.equals(local.self().address()) && !table.hasLiveAddress(seed)) {
        lost.add(seed);
      }
    }
    Collections.shuffle(lost, random);
    int wanted = table.liveCount() == 0 ? 2 * FailureDetector.HELPERS : 1;
    for (String address : lost.subList(0, Math.min(wanted, lost.size()))) {
      outbox.send(address, Packet.Kind.PING, 0, null, deadRecordAt(address));
    }
  }

  /** For it to refute. */
  private List<MemberRecord> deadRecordAt(String address) {
    return table.all().stream()
        .map(entry -> entry.record)
        .filter(record -> record.state() == MemberState.DEAD && record.address().equals(address))
        .limit(1)
        .toList();
  }
}
