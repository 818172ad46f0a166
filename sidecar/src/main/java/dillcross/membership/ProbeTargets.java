package dillcross.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/**
 * Chooses the member to probe next and the helpers of an indirect probe. Members are probed in
 * shuffled rounds, which bounds the time until a given member is probed.
 */
final class ProbeTargets {
  private static final int MAX_HELPERS = 3; // of one indirect probe

  private final MemberTable table;
  private final LocalMember local;
  private final Random random;
  private final ArrayDeque<String> round = new ArrayDeque<>(); // names of members to probe

  ProbeTargets(MemberTable table, LocalMember local, Random random) {
    this.table = table;
    this.local = local;
    this.random = random;
  }

  /** Adds a new member at the end of the current round. */
  void add(String name) {
    round.add(name);
  }

  /** The next live member of the round; empty while no other member is live. */
  Optional<MemberRecord> next() {
    for (int i = 0; i <= table.size(); i++) {
      if (round.isEmpty()) {
        startRound();
      }
      MemberEntry entry = round.isEmpty() ? null : table.find(round.poll()).orElse(null);
      if (entry != null && entry.isLive()) {
        return Optional.of(entry.record());
      }
    }
    return Optional.empty();
  }

  private void startRound() {
    List<String> names = new ArrayList<>(table.names());
    Collections.shuffle(names, random);
    round.addAll(names);
  }

  /**
   * The members that are asked to probe the target: random ones, spread over the zones. Members of
   * other zones come first, as they use other network paths.
   */
  List<MemberRecord> helpersFor(MemberRecord target) {
    List<MemberRecord> candidates = new ArrayList<>();
    for (MemberRecord record : table.liveRecords()) {
      if (!record.name().equals(target.name()) && record.state() == MemberState.ALIVE) {
        candidates.add(record);
      }
    }
    Collections.shuffle(candidates, random);
    Map<MemberRecord, Integer> ranks = ranksByZone(candidates);
    candidates.sort(Comparator.comparing(ranks::get));
    return candidates.subList(0, Math.min(MAX_HELPERS, candidates.size()));
  }

  /**
   * Ranks the first candidate of each zone before the second of any zone, and so on; among equals,
   * the candidate in this member's own zone is last.
   */
  private Map<MemberRecord, Integer> ranksByZone(List<MemberRecord> candidates) {
    Map<String, Integer> countByZone = new HashMap<>();
    Map<MemberRecord, Integer> ranks = new HashMap<>();
    for (MemberRecord candidate : candidates) {
      int positionInZone = countByZone.merge(candidate.zone(), 1, Integer::sum);
      int ownZonePenalty = candidate.zone().equals(local.self().zone()) ? 1 : 0;
      ranks.put(candidate, positionInZone * 2 + ownZonePenalty);
    }
    return ranks;
  }
}
