package dillcross.fleet;

import dillcross.fleet.Experiment.Kind;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.HdrHistogram.Histogram;

/**
 * Runs one experiment on real processes and observes them only through their admin endpoints.
 * Writes every observed state to {@code rows.csv}, and faults and state changes to {@code
 * timeline.csv}.
 */
final class ExperimentRun {
  /**
   * The number of (observer, subject) pairs in each state, at one time.
   *
   * @param ms milliseconds since all members found each other
   * @param dead pairs in which the observer reports the subject as dead or left
   * @param unseen pairs of an observer that returned no view
   */
  record Sample(long ms, long alive, long suspect, long dead, long unseen) {}

  /**
   * The outcome of one run.
   *
   * @param faults the faults that were injected
   * @param detectMs milliseconds from a kill until an observer reported the member as dead or left,
   *     one value for each observer; resolution {@link #POLL_INTERVAL_MS}
   * @param falseDeaths the number of (observer, subject) pairs in which the subject was reported
   *     dead or left although it was running and not paused, neither was on the smaller side of a
   *     two-way cut, and neither recovered from a fault within the settle time
   * @param memberHours the number of members times the observed time in hours
   * @param joinedMs milliseconds from the start until all members found each other; -1 if they did
   *     not within 60 s
   * @param agreedMs milliseconds from the end of the last fault until all running members agreed on
   *     who is alive; -1 if they did not within the settle time of the experiment
   * @param samples the numbers of pairs by state, over time
   * @param counts the membership counters, by name, summed over the running members
   * @param bytesPerSecond bytes that reached the datagram proxy, per second and member
   * @param cpuMsPerSecond CPU milliseconds used, per second and member
   * @param violations one line for each violated expectation; empty if the run passed
   */
  record Result(
      Experiment experiment,
      long seed,
      List<Schedule.ScheduledFault> faults,
      Histogram detectMs,
      long falseDeaths,
      double memberHours,
      long joinedMs,
      long agreedMs,
      List<Sample> samples,
      Map<String, Long> counts,
      double bytesPerSecond,
      double cpuMsPerSecond,
      List<String> violations) {}

  static final long POLL_INTERVAL_MS = 100;
  private final Experiment experiment;
  private final long seed;
  private final Path out;
  private final Map<String, String> lastStates = new HashMap<>(); // state by "observer subject"
  private final Map<String, Long> highestBoots = new HashMap<>(); // boot id by "observer subject"
  private final Map<Integer, Long> killedMs = new TreeMap<>(); // by member, until its restart
  private final Set<Integer> paused = new TreeSet<>();
  private final Set<Integer> cutOff = new TreeSet<>(); // smaller side of each active two-way cut
  private final Map<Integer, Long> recoveredAtMs = new HashMap<>(); // end of a member's last fault
  private final Set<String> falseDeathPairs = new TreeSet<>();
  private final Set<String> detectedPairs = new TreeSet<>();
  private final List<Sample> samples = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private final Histogram detectMs = new Histogram(3_600_000L, 3);

  ExperimentRun(Experiment experiment, long seed, Path out) {
    this.experiment = experiment;
    this.seed = seed;
    this.out = out;
  }

  Result run() throws Exception {
    Files.createDirectories(out);
    Schedule schedule = Schedule.draw(experiment, seed);
    ExecutorService pollers = Executors.newFixedThreadPool(8);
    try (Fleet fleet =
            new Fleet(
                Fleet.root(),
                out.resolve("processes"),
                experiment.sidecars(),
                experiment.zones(),
                experiment.seeds(),
                experiment.intervalMs(),
                seed);
        PrintWriter rows = new PrintWriter(Files.newBufferedWriter(out.resolve("rows.csv")));
        PrintWriter timeline =
            new PrintWriter(Files.newBufferedWriter(out.resolve("timeline.csv")))) {
      rows.println("ms,observer,subject,state");
      timeline.println("ms,who,what");
      for (Schedule.ScheduledFault scheduled : schedule.faults()) {
        if (scheduled.fault().kind() == Kind.CLOCK) {
          scheduled.of().forEach(m -> fleet.setClockShift(m, Math.round(scheduled.fault().ms())));
        }
      }
      fleet.startAll();
      long joinedMs = Fleet.waitUntil(60_000, () -> fleet.agree(fleet.allMembers()));
      if (joinedMs < 0) {
        violations.add("they did not find each other within 60 s");
      }
      long fromNs = System.nanoTime();
      List<Schedule.ScheduledFault> pending = new ArrayList<>(schedule.faults());
      TreeMap<Long, List<Runnable>> endActions = new TreeMap<>();
      long cpuBefore = fleet.cpuMs(fleet.allMembers());
      long bytesBefore = fleet.datagramProxy.bytes.get();
      while (true) {
        long ms = (System.nanoTime() - fromNs) / 1_000_000;
        while (!pending.isEmpty() && pending.get(0).atMs() <= ms) {
          Schedule.ScheduledFault scheduled = pending.remove(0);
          timeline.println(ms + ",rig," + scheduled.describe());
          startFault(fleet, scheduled, ms, endActions, timeline);
        }
        while (!endActions.isEmpty() && endActions.firstKey() <= ms) {
          endActions.pollFirstEntry().getValue().forEach(Runnable::run);
        }
        observe(fleet, pollers, ms, rows, timeline);
        if (ms >= (schedule.faults().isEmpty() ? 1000 * experiment.lengthS() : schedule.endMs())
            && pending.isEmpty()
            && endActions.isEmpty()) {
          break;
        }
        Thread.sleep(
            Math.max(1, POLL_INTERVAL_MS - ((System.nanoTime() - fromNs) / 1_000_000 - ms)));
      }
      double seconds = (System.nanoTime() - fromNs) / 1e9;
      double cpuRate =
          (fleet.cpuMs(fleet.allMembers()) - cpuBefore) / seconds / experiment.sidecars();
      double bytesRate =
          (fleet.datagramProxy.bytes.get() - bytesBefore) / seconds / experiment.sidecars();
      long agreedMs =
          Fleet.waitUntil(
              Math.round(1000 * experiment.settleS()),
              () -> fleet.agree(fleet.membersWhere(fleet::isRunning)));
      if (agreedMs < 0) {
        violations.add(
            "not all held just the living for alive "
                + experiment.settleS()
                + " s after the last fault");
      }
      Map<String, Long> counts = new TreeMap<>();
      fleet
          .membersWhere(fleet::isRunning)
          .forEach(
              m -> {
                MembershipView view = fleet.view(m);
                if (view != null) {
                  view.counts().forEach((key, value) -> counts.merge(key, value, Long::sum));
                }
              });
      return new Result(
          experiment,
          seed,
          schedule.faults(),
          detectMs,
          falseDeathPairs.size(),
          experiment.sidecars() * seconds / 3600,
          joinedMs,
          agreedMs,
          samples,
          counts,
          bytesRate,
          cpuRate,
          violations);
    } finally {
      pollers.shutdownNow();
    }
  }

  private void startFault(
      Fleet fleet,
      Schedule.ScheduledFault scheduled,
      long ms,
      NavigableMap<Long, List<Runnable>> endActions,
      PrintWriter timeline)
      throws IOException, InterruptedException {
    List<Runnable> onEnd =
        endActions.computeIfAbsent(ms + scheduled.forMs(), at -> new ArrayList<>());
    double share = scheduled.fault().share();
    long us = Math.round(1000 * scheduled.fault().ms());
    switch (scheduled.fault().kind()) {
      case KILL -> {
        for (int member : scheduled.of()) {
          fleet.kill(member);
          killedMs.put(member, ms);
          detectedPairs.removeIf(pair -> pair.endsWith(" " + Fleet.name(member)));
          if (scheduled.forMs() > 0) {
            onEnd.add(() -> restart(fleet, member, ms + scheduled.forMs(), timeline));
          }
        }
      }
      case PAUSE -> {
        for (int member : scheduled.of()) {
          fleet.signal(member, "STOP");
          paused.add(member);
          onEnd.add(
              () -> {
                try {
                  fleet.signal(member, "CONT");
                } catch (IOException | InterruptedException e) {
                  throw new IllegalStateException(e);
                }
                paused.remove(member);
                recoveredAtMs.put(member, ms + scheduled.forMs());
              });
        }
      }
      case CUT, CUT_ONE_WAY -> {
        List<LinkFault> faults =
            new ArrayList<>(List.of(Fleet.cut(scheduled.of(), scheduled.to())));
        if (scheduled.fault().kind() == Kind.CUT) {
          faults.add(Fleet.cut(scheduled.to(), scheduled.of()));
          cutOff.addAll(
              scheduled.of().size() <= scheduled.to().size() ? scheduled.of() : scheduled.to());
        }
        fleet.datagramProxy.faults.addAll(faults);
        onEnd.add(
            () -> {
              fleet.datagramProxy.faults.removeAll(faults);
              scheduled.of().forEach(m -> recoveredAtMs.put(m, ms + scheduled.forMs()));
              scheduled.to().forEach(m -> recoveredAtMs.put(m, ms + scheduled.forMs()));
              cutOff.removeAll(scheduled.of());
              cutOff.removeAll(scheduled.to());
            });
      }
      case LOSS ->
          applyBothWays(
              fleet, new LinkFault(scheduled.of(), scheduled.to(), share, 0, 0, 0, 0), onEnd);
      case DELAY ->
          applyBothWays(
              fleet, new LinkFault(scheduled.of(), scheduled.to(), 0, us, us / 2, 0, 0), onEnd);
      case TWICE ->
          applyBothWays(
              fleet, new LinkFault(scheduled.of(), scheduled.to(), 0, 0, us, share, 0), onEnd);
      case GARBLE ->
          applyBothWays(
              fleet, new LinkFault(scheduled.of(), scheduled.to(), 0, 0, 0, 0, share), onEnd);
      case CLOCK -> {} // applied before the processes start
    }
  }

  private static void applyBothWays(Fleet fleet, LinkFault fault, List<Runnable> onEnd) {
    List<LinkFault> both =
        List.of(
            fault,
            new LinkFault(
                fault.to(),
                fault.from(),
                fault.loss(),
                fault.delayUs(),
                fault.jitterUs(),
                fault.duplicated(),
                fault.corrupted()));
    fleet.datagramProxy.faults.addAll(both);
    onEnd.add(() -> fleet.datagramProxy.faults.removeAll(both));
  }

  private void restart(Fleet fleet, int member, long ms, PrintWriter timeline) {
    try {
      fleet.start(member);
      killedMs.remove(member);
      recoveredAtMs.put(member, ms);
      timeline.println(ms + ",rig,start of " + Fleet.name(member));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private void observe(
      Fleet fleet, ExecutorService pollers, long ms, PrintWriter rows, PrintWriter timeline)
      throws Exception {
    List<Future<MembershipView>> views = new ArrayList<>();
    for (int i = 0; i < fleet.size(); i++) {
      int member = i;
      views.add(paused.contains(i) ? null : pollers.submit(() -> fleet.view(member)));
    }
    long[] counts = new long[4];
    for (int observer = 0; observer < fleet.size(); observer++) {
      MembershipView view = views.get(observer) == null ? null : views.get(observer).get();
      if (view == null) {
        counts[3] += fleet.size() - 1L;
        continue;
      }
      for (Map.Entry<String, String> entry : view.states().entrySet()) {
        String pair = Fleet.name(observer) + " " + entry.getKey();
        boolean isDeadOrLeft = entry.getValue().equals("dead") || entry.getValue().equals("left");
        counts[isDeadOrLeft ? 2 : entry.getValue().equals("suspect") ? 1 : 0]++;
        if (!entry.getValue().equals(lastStates.put(pair, entry.getValue()))) {
          timeline.println(
              ms + "," + Fleet.name(observer) + "," + entry.getKey() + " " + entry.getValue());
        }
        rows.println(
            ms + "," + Fleet.name(observer) + "," + entry.getKey() + "," + entry.getValue());
        long boot = view.boots().get(entry.getKey());
        if (highestBoots.merge(pair, boot, Math::max) > boot) {
          violations.add(pair + ": went back to an older process");
        }
        if (isDeadOrLeft && entry.getKey().matches("s[0-9]+")) {
          recordDeath(observer, Integer.parseInt(entry.getKey().substring(1)), pair, ms);
        }
      }
    }
    samples.add(new Sample(ms, counts[0], counts[1], counts[2], counts[3]));
  }

  private void recordDeath(int observer, int subject, String pair, long ms) {
    Long killed = killedMs.get(subject);
    if (killed != null) {
      if (detectedPairs.add(pair)) {
        detectMs.recordValue(Math.max(0, ms - killed));
      }
    } else if (!paused.contains(subject)
        && !cutOff.contains(subject)
        && !cutOff.contains(observer)
        && ms
                - Math.max(
                    recoveredAtMs.getOrDefault(subject, -1_000_000L),
                    recoveredAtMs.getOrDefault(observer, -1_000_000L))
            > 1000 * experiment.settleS()) {
      falseDeathPairs.add(pair);
    }
  }
}
