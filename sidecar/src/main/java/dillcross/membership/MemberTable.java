package dillcross.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** All other members that are held, in the order in which they were first heard of. */
final class MemberTable {
  private final int maxMembers;
  private final MembershipCounters counters;
  private final Map<String, MemberEntry> entries = new LinkedHashMap<>();
  private final Set<String> liveAddresses = new HashSet<>();
  private int liveCount;

  MemberTable(int maxMembers, MembershipCounters counters) {
    this.maxMembers = maxMembers;
    this.counters = counters;
  }

  /** The entry of that name; null where there is none. */
  MemberEntry find(String name) {
    return entries.get(name);
  }

  Collection<MemberEntry> all() {
    return entries.values();
  }

  Collection<String> names() {
    return entries.keySet();
  }

  int size() {
    return entries.size();
  }

  void add(MemberEntry entry) {
    entries.put(entry.record.name(), entry);
  }

  void remove(MemberEntry entry) {
    entries.remove(entry.record.name());
  }

  /** Whether it holds as many members as it may. */
  boolean isFull() {
    return entries.size() >= maxMembers;
  }

  /** The one that is dead or has left for the longest; empty where all are live, which counts. */
  Optional<MemberEntry> oldestGone() {
    Optional<MemberEntry> oldest =
        entries.values().stream()
            .filter(entry -> !entry.isLive())
            .min(Comparator.comparingLong(entry -> entry.sinceUs));
    if (oldest.isEmpty()) {
      counters.refusedMembers++;
    }
    return oldest;
  }

  /** The records of live members. */
  List<MemberRecord> liveRecords() {
    return entries.values().stream()
        .map(entry -> entry.record)
        .filter(record -> record.state().isLive())
        .toList();
  }

  /** Counts the live members anew. */
  void recountLive() {
    liveAddresses.clear();
    List<MemberRecord> live = liveRecords();
    live.forEach(record -> liveAddresses.add(record.address()));
    liveCount = live.size();
  }

  int liveCount() {
    return liveCount;
  }

  boolean hasLiveAddress(String address) {
    return liveAddresses.contains(address);
  }

  /** What we hold against one who spoke to us, for it to refute; empty where nothing. */
  Optional<MemberRecord> contradiction(MemberRecord speaker) {
    MemberEntry entry = entries.get(speaker.name());
    boolean isNewer = entry != null && entry.record.supersedes(speaker);
    return isNewer ? Optional.of(entry.record) : Optional.empty();
  }
}
