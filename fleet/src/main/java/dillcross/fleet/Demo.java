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
 * A small fleet on loopback that shows what dillcross does: an endpoint fails, is ejected, goes on
 * probation and comes back; a sidecar is killed, the others see it, and it returns.
 */
final class Demo {
  private static final double PER_S = 60; // requests of each sidecar
  private static final int FAILING = 2;
  private static final int KILLED = 1;
  private static final long STEP_MS = 500;
  private final PrintStream out;
  private final boolean live;
  private final List<double[]> attempts = new ArrayList<>(); // by endpoint, a second, of each step
  private final List<double[]> requests =
      new ArrayList<>(); // succeeded, rejected or failed, unheard

  Demo(PrintStream out, boolean live) {
    this.out = out;
    this.live = live;
  }

  /**
   * Plays it, at a pace of so many times the usual; the report goes to that folder. Whether all
   * went as it should.
   */
  boolean play(Path folder, double pace) throws Exception {
    Files.createDirectories(folder);
    List<String> zones = List.of("east", "west");
    List<String> news = new ArrayList<>();
    try (StandInServices standIns = new StandInServices(4, zones, 12);
        Fleet fleet =
            new Fleet(Fleet.root(), folder.resolve("processes"), 3, zones, List.of(0), 300, 1)) {
      fleet.lists(standIns.listAddress());
      out.println(
          "dillcross demo: 4 endpoints, a list service, 3 sidecars (real processes) and "
              + Math.round(3 * PER_S)
              + " ops a second, all on loopback");
      fleet.startAll();
      if (Fleet.until(30_000, () -> fleet.agree(fleet.all())) < 0) {
        out.println(
            "the sidecars did not find each other; see the logs in " + folder.resolve("processes"));
        return false;
      }
      for (int i = 0; i < fleet.size(); i++) {
        fleet.child(i).address();
      }
      List<LoadGenerator> loads = LoadGenerator.all(fleet, PER_S);
      long fromNs = System.nanoTime();
      double[] at = {4, 10, 15, 19, 24};
      int done = 0;
      while (done < at.length) {
        double s = (System.nanoTime() - fromNs) / 1e9 * pace;
        if (s >= at[done]) {
          String said = act(done, fleet, standIns);
          done++;
          if (said != null) {
            news.add(String.format(Locale.ROOT, "%5.1f s  %s", s, said));
            if (!live) {
              out.println(news.get(news.size() - 1));
            }
          }
        }
        step(fleet, standIns, loads, s, news);
        Thread.sleep(STEP_MS);
      }
      loads.forEach(LoadGenerator::close);
      Thread.sleep(LoadGenerator.TTL_MS + 500);
      Histogram all = new Histogram(60_000_000L, 3);
      loads.forEach(l -> all.add(l.latencyUs));
      long sent = sum(loads, 0);
      long succeeded = sum(loads, 1);
      long unheard = sum(loads, 4);
      String summary =
          String.format(
              Locale.ROOT,
              "ops %d: acked %d, nacked %d, failed %d, with no sidecar there %d; latency p50 %.1f ms, p99 %.1f ms%n",
              sent,
              succeeded,
              sum(loads, 2),
              sum(loads, 3),
              unheard,
              all.getValueAtPercentile(50) / 1000.0,
              all.getValueAtPercentile(99) / 1000.0);
      out.print(summary);
      Report.demo(
          folder,
          news,
          summary,
          standIns.endpoints.stream().map(e -> e.id).toList(),
          attempts,
          requests,
          STEP_MS / 1000.0);
      out.println("report: " + folder.resolve("report.html"));
      return succeeded + unheard > 0.97 * sent;
    }
  }

  private static long sum(List<LoadGenerator> loads, int which) {
    return loads.stream()
        .mapToLong(
            l ->
                switch (which) {
                  case 0 -> l.sent.get();
                  case 1 -> l.succeeded.get();
                  case 2 -> l.rejected.get();
                  case 3 -> l.failed.get();
                  default -> l.unheard.get();
                })
        .sum();
  }

  private static String act(int step, Fleet fleet, StandInServices standIns)
      throws IOException, InterruptedException {
    switch (step) {
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

  private void step(
      Fleet fleet,
      StandInServices standIns,
      List<LoadGenerator> loads,
      double s,
      List<String> news) {
    double[] to = standIns.endpoints.stream().mapToDouble(e -> e.attempts.get()).toArray();
    double[] now = {sum(loads, 1), sum(loads, 2) + sum(loads, 3), sum(loads, 4)};
    String views =
        fleet.all().stream()
            .map(
                m -> {
                  MembershipView view = fleet.view(m);
                  return Fleet.name(m)
                      + (view == null
                          ? " is not there"
                          : " holds "
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
      news.forEach(out::println);
    } else {
      out.println(line + "  " + views);
    }
  }
}
