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
 * Plays one experiment on real processes and looks on from outside, at the doors alone. Rows go to
 * {@code rows.csv} (all that was seen), changes to {@code timeline.csv}.
 */
final class ExperimentRun {
  /** How many pairs of observer and subject were held for what, at a moment. */
  record Moment(long ms, long alive, long suspect, long dead, long unseen) {}

  /**
   * What came of it.
   *
   * @param detectMs from a kill until an observer held the member dead, as seen at the admin
   *     endpoint every {@link #LOOK_MS}
   * @param falseDeaths pairs in which a member that ran, was not paused nor cut off was held dead
   * @param agreedMs from the end of the last fault until all agreed; -1 where they did not in time
   */
  record Result(
      Experiment experiment,
      long seed,
      List<Schedule.Drawn> faults,
      Histogram detectMs,
      long falseDeaths,
      double memberHours,
      long joinedMs,
      long agreedMs,
      List<Moment> moments,
      Map<String, Long> counts,
      double bytesASecond,
      double cpuMsASecond,
      List<String> violations) {}

  static final long LOOK_MS = 100;
  private final Experiment experiment;
  private final long seed;
  private final Path out;
  private final Map<String, String> last = new HashMap<>(); // of observer and subject, its state
  private final Map<String, Long> boots = new HashMap<>();
  private final Map<Integer, Long> killedMs = new TreeMap<>();
  private final Set<Integer> paused = new TreeSet<>();
  private final Set<Integer> cut = new TreeSet<>(); // by loss of all, either way
  private final Map<Integer, Long> sinceMs = new HashMap<>(); // that one is well again
  private final Set<String> falsely = new TreeSet<>();
  private final Set<String> detected = new TreeSet<>();
  private final List<Moment> moments = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private final Histogram detect = new Histogram(3_600_000L, 3);

  ExperimentRun(Experiment experiment, long seed, Path out) {
    this.experiment = experiment;
    this.seed = seed;
    this.out = out;
  }

  Result play() throws Exception {
    Files.createDirectories(out);
    Schedule schedule = Schedule.draw(experiment, seed);
    ExecutorService lookers = Executors.newFixedThreadPool(8);
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
      for (Schedule.Drawn drawn : schedule.faults()) {
        if (drawn.fault().kind() == Kind.CLOCK) {
          drawn.of().forEach(m -> fleet.shift(m, Math.round(drawn.fault().ms())));
        }
      }
      fleet.startAll();
      long joined = Fleet.until(60_000, () -> fleet.agree(fleet.all()));
      if (joined < 0) {
        violations.add("they did not find each other within 60 s");
      }
      long fromNs = System.nanoTime();
      List<Schedule.Drawn> waiting = new ArrayList<>(schedule.faults());
      TreeMap<Long, List<Runnable>> ends = new TreeMap<>();
      long cpu = fleet.cpuMs(fleet.all());
      long sent = fleet.plane.bytes.get();
      while (true) {
        long ms = (System.nanoTime() - fromNs) / 1_000_000;
        while (!waiting.isEmpty() && waiting.get(0).atMs() <= ms) {
          Schedule.Drawn drawn = waiting.remove(0);
          timeline.println(ms + ",rig," + drawn.describe());
          begin(fleet, drawn, ms, ends, timeline);
        }
        while (!ends.isEmpty() && ends.firstKey() <= ms) {
          ends.pollFirstEntry().getValue().forEach(Runnable::run);
        }
        look(fleet, lookers, ms, rows, timeline);
        if (ms >= (schedule.faults().isEmpty() ? 1000 * experiment.lengthS() : schedule.endMs())
            && waiting.isEmpty()
            && ends.isEmpty()) {
          break;
        }
        Thread.sleep(Math.max(1, LOOK_MS - ((System.nanoTime() - fromNs) / 1_000_000 - ms)));
      }
      double seconds = (System.nanoTime() - fromNs) / 1e9;
      double cpuRate = (fleet.cpuMs(fleet.all()) - cpu) / seconds / experiment.sidecars();
      double sentRate = (fleet.plane.bytes.get() - sent) / seconds / experiment.sidecars();
      long agreed =
          Fleet.until(
              Math.round(1000 * experiment.settleS()), () -> fleet.agree(fleet.those(fleet::runs)));
      if (agreed < 0) {
        violations.add(
            "not all held just the living for alive "
                + experiment.settleS()
                + " s after the last fault");
      }
      Map<String, Long> counts = new TreeMap<>();
      fleet
          .those(fleet::runs)
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
          detect,
          falsely.size(),
          experiment.sidecars() * seconds / 3600,
          joined,
          agreed,
          moments,
          counts,
          sentRate,
          cpuRate,
          violations);
    } finally {
      lookers.shutdownNow();
    }
  }

  private void begin(
      Fleet fleet,
      Schedule.Drawn drawn,
      long ms,
      NavigableMap<Long, List<Runnable>> ends,
      PrintWriter timeline)
      throws IOException, InterruptedException {
    List<Runnable> end = ends.computeIfAbsent(ms + drawn.forMs(), at -> new ArrayList<>());
    double share = drawn.fault().share();
    long us = Math.round(1000 * drawn.fault().ms());
    switch (drawn.fault().kind()) {
      case KILL -> {
        for (int member : drawn.of()) {
          fleet.kill(member);
          killedMs.put(member, ms);
          detected.removeIf(pair -> pair.endsWith(" " + Fleet.name(member)));
          if (drawn.forMs() > 0) {
            end.add(() -> again(fleet, member, ms + drawn.forMs(), timeline));
          }
        }
      }
      case PAUSE -> {
        for (int member : drawn.of()) {
          fleet.signal(member, "STOP");
          paused.add(member);
          end.add(
              () -> {
                try {
                  fleet.signal(member, "CONT");
                } catch (IOException | InterruptedException e) {
                  throw new IllegalStateException(e);
                }
                paused.remove(member);
                sinceMs.put(member, ms + drawn.forMs());
              });
        }
      }
      case CUT, CUT_ONE_WAY -> {
        List<LinkFault> faults = new ArrayList<>(List.of(Fleet.cut(drawn.of(), drawn.to())));
        if (drawn.fault().kind() == Kind.CUT) {
          faults.add(Fleet.cut(drawn.to(), drawn.of()));
          cut.addAll(drawn.of().size() <= drawn.to().size() ? drawn.of() : drawn.to());
        }
        fleet.plane.faults.addAll(faults);
        end.add(
            () -> {
              fleet.plane.faults.removeAll(faults);
              drawn.of().forEach(m -> sinceMs.put(m, ms + drawn.forMs()));
              drawn.to().forEach(m -> sinceMs.put(m, ms + drawn.forMs()));
              cut.removeAll(drawn.of());
              cut.removeAll(drawn.to());
            });
      }
      case LOSS -> apply(fleet, new LinkFault(drawn.of(), drawn.to(), share, 0, 0, 0, 0), end);
      case DELAY -> apply(fleet, new LinkFault(drawn.of(), drawn.to(), 0, us, us / 2, 0, 0), end);
      case TWICE -> apply(fleet, new LinkFault(drawn.of(), drawn.to(), 0, 0, us, share, 0), end);
      case GARBLE -> apply(fleet, new LinkFault(drawn.of(), drawn.to(), 0, 0, 0, 0, share), end);
      case CLOCK -> {} // from the start
    }
  }

  private static void apply(Fleet fleet, LinkFault fault, List<Runnable> end) {
    List<LinkFault> both =
        List.of(
            fault,
            new LinkFault(
                fault.to(),
                fault.from(),
                fault.loss(),
                fault.delayUs(),
                fault.jitterUs(),
                fault.twice(),
                fault.garbled()));
    fleet.plane.faults.addAll(both);
    end.add(() -> fleet.plane.faults.removeAll(both));
  }

  private void again(Fleet fleet, int member, long ms, PrintWriter timeline) {
    try {
      fleet.start(member);
      killedMs.remove(member);
      sinceMs.put(member, ms);
      timeline.println(ms + ",rig,start of " + Fleet.name(member));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private void look(
      Fleet fleet, ExecutorService lookers, long ms, PrintWriter rows, PrintWriter timeline)
      throws Exception {
    List<Future<MembershipView>> views = new ArrayList<>();
    for (int i = 0; i < fleet.size(); i++) {
      int member = i;
      views.add(paused.contains(i) ? null : lookers.submit(() -> fleet.view(member)));
    }
    long[] counts = new long[4];
    for (int observer = 0; observer < fleet.size(); observer++) {
      MembershipView view = views.get(observer) == null ? null : views.get(observer).get();
      if (view == null) {
        counts[3] += fleet.size() - 1L;
        continue;
      }
      for (Map.Entry<String, String> held : view.states().entrySet()) {
        String pair = Fleet.name(observer) + " " + held.getKey();
        boolean lost = held.getValue().equals("dead") || held.getValue().equals("left");
        counts[lost ? 2 : held.getValue().equals("suspect") ? 1 : 0]++;
        if (!held.getValue().equals(last.put(pair, held.getValue()))) {
          timeline.println(
              ms + "," + Fleet.name(observer) + "," + held.getKey() + " " + held.getValue());
        }
        rows.println(ms + "," + Fleet.name(observer) + "," + held.getKey() + "," + held.getValue());
        long boot = view.boots().get(held.getKey());
        if (boots.merge(pair, boot, Math::max) > boot) {
          violations.add(pair + ": went back to an older process");
        }
        if (lost && held.getKey().matches("s[0-9]+")) {
          lost(observer, Integer.parseInt(held.getKey().substring(1)), pair, ms);
        }
      }
    }
    moments.add(new Moment(ms, counts[0], counts[1], counts[2], counts[3]));
  }

  private void lost(int observer, int subject, String pair, long ms) {
    Long killed = killedMs.get(subject);
    if (killed != null) {
      if (detected.add(pair)) {
        detect.recordValue(Math.max(0, ms - killed));
      }
    } else if (!paused.contains(subject)
        && !cut.contains(subject)
        && !cut.contains(observer)
        && ms
                - Math.max(
                    sinceMs.getOrDefault(subject, -1_000_000L),
                    sinceMs.getOrDefault(observer, -1_000_000L))
            > 1000 * experiment.settleS()) {
      falsely.add(pair);
    }
  }
}
