package dillcross.emulator.membership;

import dillcross.membership.Member;
import dillcross.membership.MemberRecord;
import dillcross.membership.MemberState;
import dillcross.membership.Membership;
import dillcross.membership.MembershipSettings;
import dillcross.membership.OutboundPacket;
import dillcross.membership.Packet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.LongStream;

/**
 * Explores all sequences of a given number of steps in a cluster of three instances of the
 * sidecar's {@link Membership}. A step delivers, reorders, loses or duplicates a datagram, advances
 * time, suspends, crashes or restarts a member, or cuts links. Each sequence runs in a new cluster;
 * after its steps all faults end, and the tables of all members must become correct.
 */
public final class Explorer {
  /** One step; the digits in its name are the numbers of the members concerned. */
  enum Step {
    /** A third of a probe interval passes, in which no datagram arrives. */
    PASS,
    /** The oldest datagram in flight arrives. */
    DELIVER,
    /** The newest datagram in flight arrives. */
    DELIVER_LAST,
    /** The oldest datagram in flight is lost. */
    LOSE,
    /** The oldest datagram in flight arrives and stays in flight. */
    TWICE,
    /** Member 0 is suspended for longer than the suspicion timeout. */
    PAUSE_0,
    PAUSE_1,
    PAUSE_2,
    /** The process of member 0 ends without notice to the others. */
    CRASH_0,
    CRASH_1,
    CRASH_2,
    /** A new process of member 0 starts. */
    RESTART_0,
    RESTART_1,
    RESTART_2,
    /** A new process of member 2 starts with its wall clock set back. */
    RESTART_2_CLOCK_BACK,
    /** Members 0 and 1 cannot reach each other for longer than the suspicion timeout. */
    CUT_0_1,
    /** Datagrams from member 0 to member 1 are lost for longer than the suspicion timeout. */
    CUT_0_TO_1,
    /** Member 2 is isolated for longer than the suspicion timeout. */
    CUT_2_OFF
  }

  private static final Step[] STEPS = Step.values();
  private static final int MEMBERS = 3;
  private static final long INTERVAL_US = 1_000_000;
  private static final long LONG_FAULT_US =
      25 * INTERVAL_US; // longer than any suspicion timeout among three members

  /** Time after the last fault at which all tables must be correct. */
  private static final long CONVERGENCE_US = 90 * INTERVAL_US;

  private static final long LATENCY_US = 1000;
  private static final int MAX_ITERATIONS = 50_000; // far more than the longest run takes

  /** A packet in flight, and when it arrives unless a step delivers it earlier. */
  private record PacketInFlight(int from, int to, Packet packet, long atUs) {}

  private final Membership[] members = new Membership[MEMBERS]; // null for a crashed member

  /** The boot number of each member's newest process, and its own incarnation number. */
  private final long[] boots = new long[MEMBERS];

  private final long[] incarnations = new long[MEMBERS];
  private final boolean[] paused = new boolean[MEMBERS];
  private final boolean[][] cut = new boolean[MEMBERS][MEMBERS]; // from sender to receiver

  /**
   * The newest boot number of a subject in an observer's table, by the observer's process and the
   * subject.
   */
  private final Map<String, Long> newestBoots = new HashMap<>();

  private final List<PacketInFlight> inFlight = new ArrayList<>();
  private final long seed;
  private long nowUs = 1_000_000_000L;

  /** Whether a step has lost a datagram, after which a death without a cut may be correct. */
  private boolean hasLost;

  /**
   * Whether a step has made a member unreachable for all others, after which deaths are correct.
   */
  private boolean hasIsolated;

  private String violation; // describes a broken rule; null while none is broken

  private Explorer(long seed) {
    this.seed = seed;
  }

  /** The number of sequences of {@code depth} steps, all of which {@link #explore} runs. */
  public static long sequences(int depth) {
    return Math.round(Math.pow(STEPS.length, depth));
  }

  /**
   * Runs all sequences of {@code depth} steps, on all cores. The sequences start at five different
   * phases of the probe interval in turn.
   *
   * @param explored is incremented after each sequence
   * @return a sequence that breaks a rule and how; null if none does
   */
  public static String explore(int depth, long seed, AtomicLong explored) {
    AtomicReference<String> found = new AtomicReference<>();
    LongStream.range(0, sequences(depth))
        .parallel()
        .forEach(
            number -> {
              if (found.get() == null) {
                Step[] steps = new Step[depth];
                long rest = number;
                for (int i = 0; i < depth; i++) {
                  steps[i] = STEPS[(int) (rest % STEPS.length)];
                  rest /= STEPS.length;
                }
                String violation = new Explorer(seed + number % 5).run(steps);
                explored.incrementAndGet();
                if (violation != null) {
                  found.compareAndSet(null, List.of(steps) + ": " + violation);
                }
              }
            });
    return found.get();
  }

  private String run(Step[] steps) {
    for (int i = 0; i < MEMBERS; i++) {
      start(i, 0);
    }
    advance(20 * INTERVAL_US + (seed % 5) * INTERVAL_US / 5);
    if (violation != null || !areTablesCorrect()) {
      return violation != null ? violation : "the members do not find each other";
    }
    for (Step step : steps) {
      perform(step);
    }
    for (int i = 0; i < MEMBERS; i++) {
      paused[i] = false;
      for (int j = 0; j < MEMBERS; j++) {
        cut[i][j] = false;
      }
    }
    advance(CONVERGENCE_US);
    if (violation == null && !areTablesCorrect()) {
      violation =
          "tables are not correct "
              + CONVERGENCE_US / INTERVAL_US
              + " intervals after the last fault: "
              + tables();
    }
    return violation;
  }

  private void perform(Step step) {
    String name = step.name();
    int member = name.chars().filter(Character::isDigit).map(c -> c - '0').findFirst().orElse(0);
    switch (step) {
      case PASS -> runTimers(nowUs + INTERVAL_US / 3);
      case DELIVER -> deliver(0, false);
      case DELIVER_LAST -> deliver(inFlight.size() - 1, false);
      case TWICE -> deliver(0, true);
      case LOSE -> {
        hasLost = true;
        if (!inFlight.isEmpty()) {
          inFlight.remove(0);
        }
      }
      case PAUSE_0, PAUSE_1, PAUSE_2 -> {
        hasIsolated = true;
        paused[member] = true;
        advance(LONG_FAULT_US);
        paused[member] = false;
        long deaths = members[member] == null ? 0 : members[member].counters().deaths();
        advance(INTERVAL_US / 2);
        if (members[member] != null && !hasLost && members[member].counters().deaths() > deaths) {
          violation =
              "s"
                  + member
                  + " declares members dead right after a pause, without probing them again";
        }
      }
      case CRASH_0, CRASH_1, CRASH_2 -> {
        hasIsolated = true;
        members[member] = null;
      }
      case RESTART_0, RESTART_1, RESTART_2 -> {
        hasIsolated = true;
        start(member, 0);
      }
      case RESTART_2_CLOCK_BACK -> {
        hasIsolated = true;
        start(2, -500 * INTERVAL_US);
      }
      case CUT_0_1, CUT_0_TO_1 -> {
        long deaths = deaths();
        cut[0][1] = true;
        cut[1][0] = step == Step.CUT_0_1;
        advance(LONG_FAULT_US);
        cut[0][1] = false;
        cut[1][0] = false;
        if (deaths() > deaths && !hasIsolated && !hasLost) {
          violation =
              "a member is declared dead although only one link is cut and the third member reaches both";
        }
      }
      case CUT_2_OFF -> {
        hasIsolated = true;
        for (int i = 0; i < 2; i++) {
          cut[i][2] = true;
          cut[2][i] = true;
        }
        advance(LONG_FAULT_US);
        for (int i = 0; i < 2; i++) {
          cut[i][2] = false;
          cut[2][i] = false;
        }
      }
    }
  }

  private long deaths() {
    long all = 0;
    for (Membership member : members) {
      all += member == null ? 0 : member.counters().deaths();
    }
    return all;
  }

  private static String name(int member) {
    return "s" + member;
  }

  private static String address(int member) {
    return "10.0.0." + member + ":1";
  }

  private void start(int member, long clockShiftUs) {
    boots[member] = Math.max(1, nowUs + clockShiftUs);
    incarnations[member] = 0;
    members[member] =
        new Membership(
            seed + member,
            nowUs,
            new MemberRecord(
                name(member),
                address(member),
                "z" + member,
                boots[member],
                0,
                MemberState.ALIVE,
                ""),
            new MembershipSettings(
                List.of(address(0), address(1)), INTERVAL_US, 300_000, 16, 1200, 100_000));
    inFlight.removeIf(f -> f.to == member);
  }

  private void deliver(int index, boolean twice) {
    if (index >= 0 && index < inFlight.size()) {
      PacketInFlight one = twice ? inFlight.get(index) : inFlight.remove(index);
      if (members[one.to] != null && !paused[one.to]) {
        members[one.to].onPacket(nowUs, one.packet);
        sendAndCheck(one.to);
      }
    }
  }

  /**
   * Sends the member's pending packets, and checks that its own boot and incarnation numbers and
   * the boot numbers in its table have not decreased.
   */
  private void sendAndCheck(int member) {
    for (OutboundPacket sent; (sent = members[member].next()) != null; ) {
      int to = sent.receiver().charAt(7) - '0';
      if (!cut[member][to] && to != member) {
        inFlight.add(new PacketInFlight(member, to, sent.packet(), nowUs + LATENCY_US));
      }
    }
    MemberRecord self = members[member].self();
    if (self.boot() < boots[member]
        || (self.boot() == boots[member] && self.incarnation() < incarnations[member])) {
      violation = name(member) + "'s own boot or incarnation number has decreased";
    }
    boots[member] = self.boot();
    incarnations[member] = self.incarnation();
    for (Member held : members[member].members()) {
      String pair = boots[member] + name(member) + held.record().name();
      if (newestBoots.merge(pair, held.record().boot(), Math::max) > held.record().boot()) {
        violation = name(member) + " lists an older process again of " + held.record().name();
      }
    }
  }

  /**
   * Sets the virtual time to {@code atUs} and runs the timers that are due; delivers no datagrams.
   */
  private void runTimers(long atUs) {
    nowUs = atUs;
    for (int i = 0; i < MEMBERS; i++) {
      if (members[i] != null && !paused[i] && members[i].nextDueUs() <= nowUs) {
        members[i].onTime(nowUs);
        sendAndCheck(i);
      }
    }
  }

  /**
   * Advances virtual time by the duration; delivers each datagram and runs each timer when it is
   * due.
   */
  private void advance(long durationUs) {
    long until = nowUs + durationUs;
    for (int iterations = 0; violation == null; iterations++) {
      if (iterations > MAX_ITERATIONS) {
        violation = "timers keep expiring: more than " + MAX_ITERATIONS + " iterations";
        return;
      }
      long next = Long.MAX_VALUE;
      for (int i = 0; i < MEMBERS; i++) {
        next = members[i] == null || paused[i] ? next : Math.min(next, members[i].nextDueUs());
      }
      for (PacketInFlight one : inFlight) {
        next = Math.min(next, one.atUs);
      }
      if (next > until) {
        nowUs = until;
        return;
      }
      nowUs = Math.max(nowUs, next);
      for (int i = 0; i < inFlight.size(); ) {
        if (inFlight.get(i).atUs <= nowUs) {
          deliver(i, false);
        } else {
          i++;
        }
      }
      runTimers(nowUs);
    }
  }

  private boolean areTablesCorrect() {
    for (int i = 0; i < MEMBERS; i++) {
      for (int j = 0; j < MEMBERS && members[i] != null; j++) {
        if (i != j && (members[j] != null) != listsAsAlive(i, j)) {
          return false;
        }
      }
    }
    return true;
  }

  private boolean listsAsAlive(int observer, int subject) {
    return members[observer].members().stream()
        .anyMatch(
            m ->
                m.record().name().equals(name(subject)) && m.record().state() == MemberState.ALIVE);
  }

  private String tables() {
    StringBuilder all = new StringBuilder();
    for (int i = 0; i < MEMBERS; i++) {
      all.append(name(i))
          .append(
              members[i] == null
                  ? " does not run"
                  : " lists "
                      + members[i].members().stream()
                          .map(
                              m ->
                                  m.record().name()
                                      + " "
                                      + m.record().state()
                                      + " "
                                      + m.record().incarnation())
                          .toList())
          .append("; ");
    }
    return all.toString();
  }
}
