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
 * All sequences of so many steps of three members: what is in flight is delivered, in either order,
 * lost or delivered twice; time passes; a member stands still, crashes, starts again, also with its
 * clock gone back; a pair is cut, both ways or one. After each sequence faults stop, and the views
 * have to be true. Each sequence is played anew from the start, with the sidecar's own class.
 */
public final class Explorer {
  /** What a step can be. */
  enum Step {
    PASS,
    DELIVER,
    DELIVER_LAST,
    LOSE,
    TWICE,
    PAUSE_0,
    PAUSE_1,
    PAUSE_2,
    CRASH_0,
    CRASH_1,
    CRASH_2,
    RESTART_0,
    RESTART_1,
    RESTART_2,
    RESTART_2_CLOCK_BACK,
    CUT_0_1,
    CUT_0_TO_1,
    CUT_2_OFF
  }

  private static final Step[] STEPS = Step.values();
  private static final int MEMBERS = 3;
  private static final long INTERVAL = 1_000_000;
  private static final long LONG = 25 * INTERVAL; // longer than any suspicion of three
  private static final long SETTLE = 90 * INTERVAL;
  private static final long WAY = 1000;
  private static final int MOST_TURNS = 50_000; // far more than the longest run takes

  private record Flying(int from, int to, Packet packet, long atUs) {}

  private final Membership[] members = new Membership[MEMBERS];
  private final long[] boots = new long[MEMBERS];
  private final long[] incarnations = new long[MEMBERS];
  private final boolean[] paused = new boolean[MEMBERS];
  private final boolean[][] cut = new boolean[MEMBERS][MEMBERS];
  private final Map<String, Long> seen =
      new HashMap<>(); // by observer and subject, the newest boot
  private final List<Flying> flying = new ArrayList<>();
  private final long seed;
  private long now = 1_000_000_000L;
  private boolean lossy; // a step may have hidden a member from another
  private boolean excused; // ... or from all
  private String broken;

  private Explorer(long seed) {
    this.seed = seed;
  }

  /** How many sequences there are. */
  public static long sequences(int depth) {
    return Math.round(Math.pow(STEPS.length, depth));
  }

  /**
   * Plays all sequences of that many steps from several moments of a round of probes; null where
   * none breaks a rule, else how one does.
   */
  public static String explore(int depth, long seed, AtomicLong played) {
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
                String broke = new Explorer(seed + number % 5).play(steps);
                played.incrementAndGet();
                if (broke != null) {
                  found.compareAndSet(null, List.of(steps) + ": " + broke);
                }
              }
            });
    return found.get();
  }

  private String play(Step[] steps) {
    for (int i = 0; i < MEMBERS; i++) {
      start(i, 0);
    }
    run(20 * INTERVAL + (seed % 5) * INTERVAL / 5);
    if (broken != null || !agree()) {
      return broken != null ? broken : "they do not find each other";
    }
    for (Step step : steps) {
      take(step);
    }
    for (int i = 0; i < MEMBERS; i++) {
      paused[i] = false;
      for (int j = 0; j < MEMBERS; j++) {
        cut[i][j] = false;
      }
    }
    run(SETTLE);
    if (broken == null && !agree()) {
      broken =
          "views are not true " + SETTLE / INTERVAL + " intervals after the last fault: " + views();
    }
    return broken;
  }

  private void take(Step step) {
    String name = step.name();
    int member = name.chars().filter(Character::isDigit).map(c -> c - '0').findFirst().orElse(0);
    switch (step) {
      case PASS -> pass(now + INTERVAL / 3);
      case DELIVER -> deliver(0, false);
      case DELIVER_LAST -> deliver(flying.size() - 1, false);
      case TWICE -> deliver(0, true);
      case LOSE -> {
        lossy = true;
        if (!flying.isEmpty()) {
          flying.remove(0);
        }
      }
      case PAUSE_0, PAUSE_1, PAUSE_2 -> {
        excused = true;
        paused[member] = true;
        run(LONG);
        paused[member] = false;
        long deaths = members[member] == null ? 0 : members[member].counters().deaths();
        run(INTERVAL / 2);
        if (members[member] != null && !lossy && members[member].counters().deaths() > deaths) {
          broken = "s" + member + " wakes and holds others for dead that it gave no chance";
        }
      }
      case CRASH_0, CRASH_1, CRASH_2 -> {
        excused = true;
        members[member] = null;
      }
      case RESTART_0, RESTART_1, RESTART_2 -> {
        excused = true;
        start(member, 0);
      }
      case RESTART_2_CLOCK_BACK -> {
        excused = true;
        start(2, -500 * INTERVAL);
      }
      case CUT_0_1, CUT_0_TO_1 -> {
        long deaths = deaths();
        cut[0][1] = true;
        cut[1][0] = step == Step.CUT_0_1;
        run(LONG);
        cut[0][1] = false;
        cut[1][0] = false;
        if (deaths() > deaths && !excused && !lossy) {
          broken = "one pair is cut, a third member reaches both, and one is held dead";
        }
      }
      case CUT_2_OFF -> {
        excused = true;
        for (int i = 0; i < 2; i++) {
          cut[i][2] = true;
          cut[2][i] = true;
        }
        run(LONG);
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

  private void start(int member, long shiftUs) {
    boots[member] = Math.max(1, now + shiftUs);
    incarnations[member] = 0;
    members[member] =
        new Membership(
            seed + member,
            now,
            new MemberRecord(
                name(member),
                address(member),
                "z" + member,
                boots[member],
                0,
                MemberState.ALIVE,
                ""),
            new MembershipSettings(
                List.of(address(0), address(1)), INTERVAL, 300_000, 16, 1200, 100_000));
    flying.removeIf(f -> f.to == member);
  }

  private void deliver(int index, boolean twice) {
    if (index >= 0 && index < flying.size()) {
      Flying one = twice ? flying.get(index) : flying.remove(index);
      if (members[one.to] != null && !paused[one.to]) {
        members[one.to].onPacket(now, one.packet);
        take(one.to);
      }
    }
  }

  /**
   * Takes what a member wants to send, and looks whether what it says of itself and of others never
   * runs back.
   */
  private void take(int member) {
    for (OutboundPacket sent; (sent = members[member].next()) != null; ) {
      int to = sent.receiver().charAt(7) - '0';
      if (!cut[member][to] && to != member) {
        flying.add(new Flying(member, to, sent.packet(), now + WAY));
      }
    }
    MemberRecord self = members[member].self();
    if (self.boot() < boots[member]
        || (self.boot() == boots[member] && self.incarnation() < incarnations[member])) {
      broken = name(member) + " runs back";
    }
    boots[member] = self.boot();
    incarnations[member] = self.incarnation();
    for (Member held : members[member].members()) {
      String pair = boots[member] + name(member) + held.record().name();
      if (seen.merge(pair, held.record().boot(), Math::max) > held.record().boot()) {
        broken = name(member) + " goes back to an older process of " + held.record().name();
      }
    }
  }

  /** Time passes; what is in flight stays there. */
  private void pass(long untilUs) {
    now = untilUs;
    for (int i = 0; i < MEMBERS; i++) {
      if (members[i] != null && !paused[i] && members[i].nextDueUs() <= now) {
        members[i].onTime(now);
        take(i);
      }
    }
  }

  /** The ordinary course: each datagram comes in its time, each timer runs out in its. */
  private void run(long forUs) {
    long until = now + forUs;
    for (int turns = 0; broken == null; turns++) {
      if (turns > MOST_TURNS) {
        broken = "timers that run out without end";
        return;
      }
      long next = Long.MAX_VALUE;
      for (int i = 0; i < MEMBERS; i++) {
        next = members[i] == null || paused[i] ? next : Math.min(next, members[i].nextDueUs());
      }
      for (Flying one : flying) {
        next = Math.min(next, one.atUs);
      }
      if (next > until) {
        now = until;
        return;
      }
      now = Math.max(now, next);
      for (int i = 0; i < flying.size(); ) {
        if (flying.get(i).atUs <= now) {
          deliver(i, false);
        } else {
          i++;
        }
      }
      pass(now);
    }
  }

  private boolean agree() {
    for (int i = 0; i < MEMBERS; i++) {
      for (int j = 0; j < MEMBERS && members[i] != null; j++) {
        if (i != j && (members[j] != null) != holds(i, j)) {
          return false;
        }
      }
    }
    return true;
  }

  private boolean holds(int observer, int subject) {
    return members[observer].members().stream()
        .anyMatch(
            m ->
                m.record().name().equals(name(subject)) && m.record().state() == MemberState.ALIVE);
  }

  private String views() {
    StringBuilder all = new StringBuilder();
    for (int i = 0; i < MEMBERS; i++) {
      all.append(name(i))
          .append(
              members[i] == null
                  ? " is not there"
                  : " holds "
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
