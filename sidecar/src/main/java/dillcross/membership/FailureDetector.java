package dillcross.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;

/** SWIM's probes: a ping, then pings by helpers, then a suspicion. */
final class FailureDetector {
  /** Members that are asked to probe in our place. */
  static final int HELPERS = 3;

  private static final int MAX_RELAYED = 64; // probes for others at a time
  private static final double PROBE_SHARE = 0.85; // of the interval

  private final MembershipSettings settings;
  private final Random random;
  private final MemberTable table;
  private final LocalMember local;
  private final LocalHealth health;
  private final RecordMerger merger;
  private final Outbox outbox;
  private final MembershipCounters counters;
  private final Map<Long, Probe> probes = new LinkedHashMap<>(); // by sequence
  private final ArrayDeque<String> round; // whom to probe next
  private long lastSequence;

  /** {@code round} gets the names of new members from outside. */
  FailureDetector(
      MembershipSettings settings,
      Random random,
      MemberTable table,
      LocalMember local,
      LocalHealth health,
      RecordMerger merger,
      Outbox outbox,
      MembershipCounters counters,
      ArrayDeque<String> round) {
    this.settings = settings;
    this.random = random;
    this.table = table;
    this.local = local;
    this.health = health;
    this.merger = merger;
    this.outbox = outbox;
    this.counters = counters;
    this.round = round;
  }

  /** Probes the next member of the round. */
  void probeNext(long nowUs) {
    MemberEntry entry = nextInRound();
    if (entry == null) {
      return;
    }
    counters.probes++;
    Probe probe = new Probe(entry.record, null, 0);
    int slowness = 1 + health.multiplier();
    probe.indirectUs = nowUs + settings.timeoutUs() * slowness;
    long fullUs = ((long) (PROBE_SHARE * settings.intervalUs())) * slowness;
    probe.endUs = Math.max(nowUs + fullUs, probe.indirectUs + settings.timeoutUs());
    start(probe);
  }

  private void start(Probe probe) {
    lastSequence++;
    probes.put(lastSequence, probe);
    ping(probe.target, lastSequence);
  }

  private MemberEntry nextInRound() {
    for (int i = 0; i <= table.size(); i++) {
      if (round.isEmpty()) {
        List<String> names = new ArrayList<>(table.names());
        Collections.shuffle(names, random);
        round.addAll(names);
      }
      MemberEntry entry = round.isEmpty() ? null : table.find(round.poll());
      if (entry != null && entry.isLive()) {
        return entry;
      }
    }
    return null;
  }

  /** What we hold against it goes along, so that it can refute it. */
  private void ping(MemberRecord target, long sequence) {
    boolean isAlive = target.state() == MemberState.ALIVE;
    List<MemberRecord> records = isAlive ? List.of() : List.of(target);
    outbox.send(target.address(), Packet.Kind.PING, sequence, null, records);
  }

  /** Asks helpers where an answer is late, and ends what is over. */
  void expire(long nowUs) {
    for (long sequence : List.copyOf(probes.keySet())) {
      Probe probe = probes.get(sequence);
      if (probe.isOwn() && !probe.isIndirect && nowUs >= probe.indirectUs) {
        askHelpers(sequence, probe);
      }
      if (nowUs >= probe.endUs) {
        probes.remove(sequence);
        onUnanswered(probe);
      }
    }
  }

  /** Others see other paths: those of other zones first, one of each. */
  private void askHelpers(long sequence, Probe probe) {
    probe.isIndirect = true;
    List<MemberRecord> helpers = helpersFor(probe.target);
    for (MemberRecord helper : helpers.subList(0, Math.min(HELPERS, helpers.size()))) {
      probe.helpers++;
      outbox.send(helper.address(), Packet.Kind.PING_REQUEST, sequence, probe.target, List.of());
    }
    ping(probe.target, sequence); // the first may have been lost alone
  }

  private List<MemberRecord> helpersFor(MemberRecord target) {
    List<MemberRecord> helpers = new ArrayList<>();
    for (MemberRecord record : table.liveRecords()) {
      if (!record.name().equals(target.name()) && record.state() == MemberState.ALIVE) {
        helpers.add(record);
      }
    }
    Collections.shuffle(helpers, random);
    Map<String, Integer> seenOfZone = new HashMap<>();
    Map<MemberRecord, Integer> ranks = new HashMap<>();
    for (MemberRecord helper : helpers) {
      int inZone = seenOfZone.merge(helper.zone(), 1, Integer::sum);
      int isOwnZone = helper.zone().equals(local.self().zone()) ? 1 : 0;
      ranks.put(helper, inZone * 2 + isOwnZone);
    }
    helpers.sort(Comparator.comparing(ranks::get));
    return helpers;
  }

  /** Another member asks us to probe in its place. */
  void onPingRequest(Packet packet, long nowUs) {
    long relayed = probes.values().stream().filter(probe -> !probe.isOwn()).count();
    if (packet.about() == null || relayed >= MAX_RELAYED || !outbox.hasBudget()) {
      counters.suppressedReplies++;
      return;
    }
    Probe probe = new Probe(packet.about(), packet.sender().address(), packet.sequence());
    probe.endUs = nowUs + settings.timeoutUs();
    start(probe);
  }

  void onAck(Packet packet) {
    Probe probe = probes.get(packet.sequence());
    if (probe == null || !isAnswered(packet, probe)) {
      return; // too late, or somebody else lives at that address now
    }
    probes.remove(packet.sequence());
    if (probe.isOwn()) {
      health.improve();
      return;
    }
    MemberEntry entry = table.find(probe.target.name()); // its own record is the proof
    List<MemberRecord> records = entry == null ? List.of() : List.of(entry.record);
    outbox.reply(
        probe.requester, Packet.Kind.ACK, probe.requesterSequence, packet.sender(), records);
  }

  private static boolean isAnswered(Packet packet, Probe probe) {
    if (packet.sender().name().equals(probe.target.name())) {
      return true;
    }
    return probe.isOwn() && probe.isIndirect && isAnsweredByHelper(packet, probe.target);
  }

  private static boolean isAnsweredByHelper(Packet packet, MemberRecord target) {
    return packet.about() != null
        && packet.about().name().equals(target.name())
        && packet.about().boot() >= target.boot();
  }

  void onNack(Packet packet) {
    Probe probe = probes.get(packet.sequence());
    if (probe != null && probe.isOwn()) {
      probe.nacks++;
    }
  }

  private void onUnanswered(Probe probe) {
    if (!probe.isOwn()) {
      outbox.reply(probe.requester, Packet.Kind.NACK, probe.requesterSequence, null, List.of());
      return;
    }
    counters.unanswered++;
    // Helpers that did not even send a NACK: then it is rather us who hear nothing.
    int silentHelpers = Math.max(0, probe.helpers - probe.nacks);
    health.worsen(probe.helpers == 0 ? 1 : silentHelpers);
    suspect(probe.target);
  }

  /** Where another suspected it before us this confirms it. */
  private void suspect(MemberRecord target) {
    MemberEntry entry = table.find(target.name());
    if (entry != null && entry.record.isSameIncarnation(target) && entry.isLive()) {
      counters.suspicions += entry.record.state() == MemberState.ALIVE ? 1 : 0;
      merger.merge(entry.record.withState(MemberState.SUSPECT, local.self().name()));
    }
  }

  /** Ends our own probes: answers may be lost in our own full buffer. */
  void dropOwnProbes() {
    probes.values().removeIf(Probe::isOwn);
  }

  /** When the next probe needs attention; empty while there is none. */
  OptionalLong nextDueUs() {
    return probes.values().stream().mapToLong(Probe::nextDueUs).min();
  }
}
