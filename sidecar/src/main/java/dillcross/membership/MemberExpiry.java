package dillcross.membership;

import java.util.List;
import java.util.OptionalLong;

/** Declares suspects dead when their suspicion times out, and forgets those long dead or left. */
final class MemberExpiry {
  private static final int RETENTION_INTERVALS = 600; // that a dead or left member is remembered

  private final MemberTable table;
  private final RecordMerger merger;
  private final long retentionUs;

  MemberExpiry(MembershipSettings settings, MemberTable table, RecordMerger merger) {
    this.table = table;
    this.merger = merger;
    retentionUs = RETENTION_INTERVALS * settings.intervalUs();
  }

  /** Does what is due. */
  void expire(long nowUs) {
    for (MemberEntry entry : List.copyOf(table.all())) {
      if (entry.isSuspicionExpired(nowUs)) {
        merger.declareDead(entry, nowUs);
      } else if (!entry.isLive() && nowUs - entry.sinceUs() >= retentionUs) {
        merger.forget(entry);
      }
    }
  }

  /** Gives suspects more time, in microseconds. */
  void postponeSuspicions(long byUs) {
    table.all().forEach(entry -> entry.postponeSuspicion(byUs));
  }

  /** When the next suspicion times out, in microseconds; empty where no member is suspect. */
  OptionalLong nextDueUs() {
    return table.all().stream()
        .filter(MemberEntry::isSuspect)
        .mapToLong(MemberEntry::suspicionDeadlineUs)
        .min();
  }
}
