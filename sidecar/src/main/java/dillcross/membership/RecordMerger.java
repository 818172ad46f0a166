package dillcross.membership;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * Merges received records and payloads into the table by SWIM's rules of incarnations and
 * suspicion, and queues those that were new for gossip.
 */
final class RecordMerger {
  // Records with a greater boot or incarnation are ignored: a member refutes a record
  // about itself by a number greater by one, which could overflow.
  private static final long MAX_BOOT_OR_INCARNATION = 1L << 60;

  private final MemberTable table;
  private final LocalMember local;
  private final GossipQueue gossip;
  private final SuspicionTimeout suspicionTimeout;
  private final MembershipMetrics metrics;
  private final Consumer<String> onJoined;

  /** Calls {@code onJoined} with the name of each member that is added to the table. */
  RecordMerger(
      MemberTable table,
      LocalMember local,
      GossipQueue gossip,
      SuspicionTimeout suspicionTimeout,
      MembershipMetrics metrics,
      Consumer<String> onJoined) {
    this.table = table;
    this.local = local;
    this.gossip = gossip;
    this.suspicionTimeout = suspicionTimeout;
    this.metrics = metrics;
    this.onJoined = onJoined;
  }

  /** Merges a record of any member; a record with this member's own name may be refuted. */
  void merge(MemberRecord record, long nowUs) {
    if (record.boot() > MAX_BOOT_OR_INCARNATION || record.incarnation() > MAX_BOOT_OR_INCARNATION) {
      return;
    }
    if (!record.name().equals(local.self().name())) {
      mergeOther(record, nowUs);
    } else if (local.onRecord(record) == LocalMember.Resolution.NAME_YIELDED) {
      merge(record, nowUs);
    }
  }

  private void mergeOther(MemberRecord record, long nowUs) {
    Optional<MemberEntry> known = table.find(record.name());
    if (known.isEmpty()) {
      addNew(record, nowUs);
      return;
    }
    MemberEntry entry = known.get();
    if (record.supersedes(entry.record())) {
      if (record.boot() != entry.record().boot()) {
        entry.clearPayloads();
      }
      update(entry, record, nowUs);
    } else if (isConfirmation(entry, record) && entry.confirmSuspicion(record.suspectedBy())) {
      entry.changeSuspicionTimeout(suspicionTimeout.timeoutUs(entry.confirmations()));
      gossip.add(record);
    }
  }

  /** Adds an unknown member if it is live; a dead one is kept only where it was known alive. */
  private void addNew(MemberRecord record, long nowUs) {
    if (record.state().isLive() && makeSpace()) {
      MemberEntry entry = new MemberEntry(record);
      table.add(entry);
      onJoined.accept(record.name());
      update(entry, record, nowUs);
      table.recountLive();
    }
  }

  /** Evicts a member that is not live if the table is full; returns false if all are live. */
  private boolean makeSpace() {
    if (!table.isFull()) {
      return true;
    }
    Optional<MemberEntry> evicted = table.longestNotLive();
    if (evicted.isEmpty()) {
      metrics.onMemberRefused();
      return false;
    }
    forget(evicted.get());
    return true;
  }

  /** Whether the record may add another member's suspicion to that of a suspect. */
  private static boolean isConfirmation(MemberEntry entry, MemberRecord record) {
    return record.state() == MemberState.SUSPECT
        && entry.isSuspect()
        && record.isSameIncarnation(entry.record())
        && entry.confirmations() < SuspicionTimeout.MAX_CONFIRMATIONS;
  }

  /**
   * Suspects a member whose probe has failed, unless a newer record of it has arrived since then.
   * If another member suspected it before, this confirms that suspicion.
   */
  void suspect(MemberRecord target, long nowUs) {
    Optional<MemberEntry> known = table.find(target.name());
    if (known.isEmpty()) {
      return;
    }
    MemberEntry entry = known.get();
    if (entry.isLive() && entry.record().isSameIncarnation(target)) {
      if (!entry.isSuspect()) {
        metrics.onSuspicion();
      }
      merge(entry.record().withState(MemberState.SUSPECT, local.self().name()), nowUs);
    }
  }

  /** Declares a member dead whose suspicion has timed out. */
  void declareDead(MemberEntry entry, long nowUs) {
    metrics.onDeath();
    update(entry, entry.record().withState(MemberState.DEAD, MemberRecord.NOT_SUSPECTED), nowUs);
  }

  private void update(MemberEntry entry, MemberRecord record, long nowUs) {
    MemberRecord before = entry.record();
    entry.replaceRecord(record, nowUs);
    if (record.state() == MemberState.SUSPECT) {
      entry.startSuspicion(nowUs, suspicionTimeout.timeoutUs(0));
    } else if (!record.state().isLive()) {
      entry.clearPayloads();
    }
    gossip.add(record);
    boolean changesLive = before.state().isLive() != record.state().isLive();
    if (changesLive || !before.address().equals(record.address())) {
      table.recountLive();
    }
  }

  /** Merges a payload; one of an unknown member, or of another boot of a known one, is ignored. */
  void merge(Payload payload) {
    if (!payload.isValid()) {
      return;
    }
    table
        .find(payload.origin())
        .filter(entry -> entry.record().boot() == payload.boot())
        .filter(entry -> entry.payload(payload.type()).map(payload::supersedes).orElse(true))
        .ifPresent(
            entry -> {
              entry.putPayload(payload);
              gossip.add(payload);
            });
  }

  /** Removes a member from the table, and its record and payloads from the gossip queue. */
  void forget(MemberEntry entry) {
    table.remove(entry);
    gossip.forget(entry.record().name());
  }
}
