package dillcross.fleet;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/**
 * Runs a small fleet on loopback: an endpoint fails, is ejected, passes probation and is
 * readmitted; a sidecar is killed, the others detect its death, and it is restarted.
 */
final class Demo {
  private static final double REQUESTS_PER_SECOND = 60; // requests per second to each sidecar
  private static final int FAILING = 2;
  private static final int KILLED = 1;
  private static final long STEP_MS = 500;
  private final PrintStream out;
  private final boolean live; // redraw the terminal screen instead of appending lines

  // For each step, the totals of attempts by endpoint.
  private final List<double[]> attempts = new ArrayList<>();

  // For each step, the totals of requests that succeeded, were rejected or failed, went unanswered.
  private final List<double[]> requests = new ArrayList<>();

  Demo(PrintStream out, boolean live) {
    this.out = out;
    this.live = live;
  }

  /**
   * Runs the demo and writes a report.
   *
   * @param folder the directory for the report and the logs; created if missing
   * @param pace the speed of the scripted events, as a multiple of the usual speed 1
   * @return true if the members found each other and over 97 % of the requests succeeded or were
   *     sent to a sidecar that did not answer
   */
  boolean run(Path folder, double pace) throws Exception {
    Files.createDirectories(folder);
    List<String> zones = List.of("east", "west");
    List<String> events = new ArrayList<>();
    try (StandInServices standIns = new StandInServices(4, zones, 12);
        Fleet fleet =
            new Fleet(Fleet.root(), folder.resolve("processes"), 3, zones, List.of(0), 300, 1)) {
      fleet.setListAddress(standIns.listAddress());
      out.println(
          "dillcross demo: 4 endpoints, a list service, 3 sidecars (real processes) and "
              + Math.round(3 * REQUESTS_PER_SECOND)
              + " ops a second, all on loopback");
      fleet.startAll();
      if (Fleet.waitUntil(30_000, () -> fleet.agree(fleet.allMembers())) < 0) {
        out.println(
            "the sidecars did not agree on the membership within 30 s; see the logs in "
                + folder.resolve("processes"));
        return false;
      }
      for (int i = 0; i < fleet.size(); i++) {
        fleet.child(i).address();
      }
      List<LoadGenerator> loads = LoadGenerator.startFor(fleet, REQUESTS_PER_SECOND);
      long fromNs = System.nanoTime();
      double[] eventTimesS = {4, 10, 15, 19, 24};
      int nextEvent = 0;
      while (nextEvent < eventTimesS.length) {
        double s = (System.nanoTime() - fromNs) / 1e9 * pace;
        if (s >= eventTimesS[nextEvent]) {
          String event = runEvent(nextEvent, fleet, standIns);
          nextEvent++;
          if (event != null) {
            events.add(String.format(Locale.ROOT, "%5.1f s  %s", s, event));
            if (!live) {
              out.println(events.get(events.size() - 1));
            }
          }
        }
        recordStep(fleet, standIns, loads, s, events);
        Thread.sleep(STEP_MS);
      }
      loads.forEach(LoadGenerator::close);
      Thread.sleep(LoadGenerator.TTL_MS + 500);
      Histogram all = new Histogram(60_000_000L, 3);
      loads.forEach(l -> all.add(l.latencyUs));
      long sent = sum(loads, 0);
      long succeeded = sum(loads, 1);
      long unanswered = sum(loads, 4);
      String summary =
          String.format(
              Locale.ROOT,
              "ops %d: acked %d, nacked %d, failed %d, with no sidecar there %d; latency p50 %.1f ms, p99 %.1f ms%n",
              sent,
              succeeded,
              sum(loads, 2),
              sum(loads, 3),
              unanswered,
              all.getValueAtPercentile(50) / 1000.0,
              all.getValueAtPercentile(99) / 1000.0);
      out.print(summary);
      Report.demo(
          folder,
          events,
          summary,
          standIns.endpoints.stream().map(e -> e.id).toList(),
          attempts,
          requests,
          STEP_MS / 1000.0);
      out.println("report: " + folder.resolve("report.html"));
      return succeeded + unanswered > 0.97 * sent;
    }
  }

  /**
   * The total of one counter over all generators.
   *
   * @param outcome 0 for sent, 1 succeeded, 2 rejected, 3 failed, any other number for unanswered
   */
  private static long sum(List<LoadGenerator> loads, int outcome) {
    return loads.stream()
        .mapToLong(
            l ->
                switch (outcome) {
                  case 0 -> l.sent.get();
                  case 1 -> l.succeeded.get();
                  case 2 -> l.rejected.get();
                  case 3 -> l.failed.get();
                  default -> l.unanswered.get();
                })
        .sum();
  }

  /**
   * Performs the scripted event with this number, from 0.
   *
   * @return its description; null for the last event, which only ends the demo
   */
  private static String runEvent(int event, Fleet fleet, StandInServices standIns)
      throws IOException, InterruptedException {
    switch (event) {
      case 0 -> {
        standIns.endpoints.get(FAILING).fails = true;
        return "e2 begins to fail every op at once: five failures in a row eject it";
      }
      case 1 -> {
        standIns.endpoints.get(FAILING).fails = false;
        return "e2 is well again: one op on probation readmits it when its penalty is over";
      }
      case 2 -> {
        fleet.kill(KILLED);
        return "s1 is killed: its clients find nobody, the other sidecars come to hold it dead";
      }
      case 3 -> {
        fleet.start(KILLED);
        return "s1 starts again";
      }
      default -> {
        return null;
      }
    }
  }

  private void recordStep(
      Fleet fleet,
      StandInServices standIns,
      List<LoadGenerator> loads,
      double s,
      List<String> events) {
    double[] to = standIns.endpoints.stream().mapToDouble(e -> e.attempts.get()).toArray();
    double[] now = {sum(loads, 1), sum(loads, 2) + sum(loads, 3), sum(loads, 4)};
    String views =
        fleet.allMembers().stream()
            .map(
                m -> {
                  MembershipView view = fleet.view(m);
                  return Fleet.name(m)
                      + (view == null
                          ? " does not answer"
                          : " reports "
                              + view.states().entrySet().stream()
                                  .map(e -> e.getKey() + " " + e.getValue())
                                  .collect(Collectors.joining(", ")));
                })
            .collect(Collectors.joining("; "));
    double[] lastTo =
        attempts.isEmpty() ? new double[to.length] : attempts.get(attempts.size() - 1);
    double[] last = requests.isEmpty() ? new double[now.length] : requests.get(requests.size() - 1);
    attempts.add(to);
    requests.add(now);
    StringBuilder line =
        new StringBuilder(
            String.format(
                Locale.ROOT, "%5.1f s  acked %3.0f/s", s, (now[0] - last[0]) * 1000 / STEP_MS));
    for (int i = 0; i < to.length; i++) {
      line.append(
          String.format(Locale.ROOT, "  e%d %3.0f/s", i, (to[i] - lastTo[i]) * 1000 / STEP_MS));
    }
    if (live) {
      out.print("\u001b[H\u001b[2J");
      out.println("dillcross demo: ops acked and pushes to each endpoint, a second");
      out.println(line);
      out.println(views);
      events.forEach(out::println);
    } else {
      out.println(line + "  " + views);
    }
  }
}
