package dillcross.fleet;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/**
 * What membership costs: the same load on sidecars that have it and on as many that have not, in
 * one run, while one member comes and goes.
 */
final class ComparisonRun {
  private ComparisonRun() {}

  /** Whether every request that found its sidecar was answered. */
  static boolean play(int each, int seconds, double rate, Path out, PrintStream print)
      throws Exception {
    List<String> zones = List.of("east", "west", "north");
    try (StandInServices standIns = new StandInServices(9, zones, 10);
        Fleet fleet = new Fleet(Fleet.root(), out, 2 * each, zones, List.of(0), 1000, 1)) {
      fleet.lists(standIns.listAddress());
      IntStream.range(each, 2 * each).forEach(fleet::alone);
      fleet.startAll();
      Set<Integer> with = fleet.those(m -> m < each);
      if (Fleet.until(60_000, () -> fleet.agree(with)) < 0) {
        print.println("the sidecars did not find each other");
        return false;
      }
      for (int m : fleet.all()) {
        fleet.child(m).address();
      }
      List<LoadGenerator> warm = LoadGenerator.all(fleet, rate);
      Thread.sleep(5000);
      warm.forEach(LoadGenerator::close);
      Thread.sleep(1500);
      List<Set<Integer>> kinds = List.of(with, fleet.those(m -> m >= each));
      List<Long> cpu = kinds.stream().map(fleet::cpuMs).toList();
      long bytes = fleet.plane.bytes.get();
      List<LoadGenerator> loads = LoadGenerator.all(fleet, rate);
      Thread.sleep(1000L * seconds / 2);
      fleet.signal(each - 1, "STOP"); // news to talk about; its own clients are not counted below
      Thread.sleep(1000L * seconds / 2);
      fleet.signal(each - 1, "CONT");
      loads.forEach(LoadGenerator::close);
      Thread.sleep(1500);
      print.println(
          "| membership | sidecars | ops | p50 | p99 | p99.9 | not acked | CPU ms/s a sidecar | bytes/s a sidecar |");
      print.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
      boolean answered = true;
      for (int kind = 0; kind < 2; kind++) {
        int from = kind * each;
        List<LoadGenerator> own =
            IntStream.range(from, from + each - 1).mapToObj(loads::get).toList();
        Histogram all = new Histogram(60_000_000L, 3);
        own.forEach(l -> all.add(l.latencyUs));
        long sent = own.stream().mapToLong(l -> l.sent.get()).sum();
        long succeeded = own.stream().mapToLong(l -> l.succeeded.get()).sum();
        answered &= own.stream().allMatch(l -> l.unheard.get() == 0);
        double used = (fleet.cpuMs(kinds.get(kind)) - cpu.get(kind)) / (seconds + 1.5) / each;
        print.printf(
            Locale.ROOT,
            "| %s | %d | %d | %.2f ms | %.2f ms | %.2f ms | %d | %.1f | %s |%n",
            kind == 0 ? "on" : "off",
            each - 1,
            sent,
            all.getValueAtPercentile(50) / 1e3,
            all.getValueAtPercentile(99) / 1e3,
            all.getValueAtPercentile(99.9) / 1e3,
            sent - succeeded,
            used,
            kind == 0
                ? String.format(
                    Locale.ROOT, "%.0f", (fleet.plane.bytes.get() - bytes) / (seconds + 1.5) / each)
                : "0");
      }
      return answered;
    }
  }
}
