package dillcross.membership;

import java.util.List;
import java.util.OptionalLong;

/** Declares suspects dead when their suspicion times out, and forgets those long dead or left. */
final class MemberExpiry {
  // Probe intervals for which a dead or left member stays in the table.
  private static final int RETENTION_INTERVALS = 600;

  private final MemberTable table;
  private final RecordMerger merger;
  private final long retentionUs;

  MemberExpiry(MembershipSettings settings, MemberTable table, RecordMerger merger) {
    this.table = table;
    this.merger = merger;
    retentionUs = RETENTION_INTERVALS * settings.intervalUs();
  }

  /** Declares suspects dead whose suspicion timed out; forgets those dead or left for long. */
  void expire(long nowUs) {
    for (MemberEntry entry : List.copyOf(table.all())) {
      if (entry.isSuspicionExpired(nowUs)) {
        merger.declareDead(entry, nowUs);
      } else if (!entry.isLive() && nowUs - entry.sinceUs() >= retentionUs) {
        merger.forget(entry);
      }
    }
  }

  /** Postpones the end of all running suspicions by {@code byUs} microseconds. */
  void postponeSuspicions(long byUs) {
    table.all().forEach(entry -> entry.postponeSuspicion(byUs));
  }

  /** The time of the next suspicion timeout, in microseconds; empty if no member is suspect. */
  OptionalLong nextDueUs() {
    return table.all().stream()
        .filter(MemberEntry::isSuspect)
        .mapToLong(MemberEntry::suspicionDeadlineUs)
        .min();
  }
}
