package dillcross.fleet;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/**
 * Measures the cost of membership: puts the same load on an equal number of sidecars with and
 * without membership in one run, during which one member is paused and resumed.
 */
final class ComparisonRun {
  private ComparisonRun() {}

  /**
   * Runs the comparison and prints a table.
   *
   * @param groupSize the number of sidecars with membership, and of those without
   * @param seconds the duration of the measurement, after a warm-up of 5 s
   * @param rate requests per second to each sidecar
   * @param out the directory for configuration files and logs
   * @return true if every request to the measured sidecars got a response
   */
  static boolean run(int groupSize, int seconds, double rate, Path out, PrintStream print)
      throws Exception {
    List<String> zones = List.of("east", "west", "north");
    try (StandInServices standIns = new StandInServices(9, zones, 10);
        Fleet fleet = new Fleet(Fleet.root(), out, 2 * groupSize, zones, List.of(0), 1000, 1)) {
      fleet.setListAddress(standIns.listAddress());
      IntStream.range(groupSize, 2 * groupSize).forEach(fleet::disableMembership);
      fleet.startAll();
      Set<Integer> withMembership = fleet.membersWhere(m -> m < groupSize);
      if (Fleet.waitUntil(60_000, () -> fleet.agree(withMembership)) < 0) {
        print.println("the sidecars did not agree on the membership within 60 s");
        return false;
      }
      for (int m : fleet.allMembers()) {
        fleet.child(m).address();
      }
      List<LoadGenerator> warmUp = LoadGenerator.startFor(fleet, rate);
      Thread.sleep(5000);
      warmUp.forEach(LoadGenerator::close);
      Thread.sleep(1500);
      List<Set<Integer>> groups = List.of(withMembership, fleet.membersWhere(m -> m >= groupSize));
      List<Long> cpu = groups.stream().map(fleet::cpuMs).toList();
      long bytes = fleet.datagramProxy.bytes.get();
      List<LoadGenerator> loads = LoadGenerator.startFor(fleet, rate);
      Thread.sleep(1000L * seconds / 2);
      // The pause causes membership updates to be sent; this member's clients are not counted
      // below.
      fleet.signal(groupSize - 1, "STOP");
      Thread.sleep(1000L * seconds / 2);
      fleet.signal(groupSize - 1, "CONT");
      loads.forEach(LoadGenerator::close);
      Thread.sleep(1500);
      print.println(
          "| membership | sidecars | ops | p50 | p99 | p99.9 | not acked | CPU ms/s a sidecar | bytes/s a sidecar |");
      print.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
      boolean answered = true;
      for (int group = 0; group < 2; group++) {
        int from = group * groupSize;
        List<LoadGenerator> own =
            IntStream.range(from, from + groupSize - 1).mapToObj(loads::get).toList();
        Histogram all = new Histogram(60_000_000L, 3);
        own.forEach(l -> all.add(l.latencyUs));
        long sent = own.stream().mapToLong(l -> l.sent.get()).sum();
        long succeeded = own.stream().mapToLong(l -> l.succeeded.get()).sum();
        answered &= own.stream().allMatch(l -> l.unanswered.get() == 0);
        double used =
            (fleet.cpuMs(groups.get(group)) - cpu.get(group)) / (seconds + 1.5) / groupSize;
        print.printf(
            Locale.ROOT,
            "| %s | %d | %d | %.2f ms | %.2f ms | %.2f ms | %d | %.1f | %s |%n",
            group == 0 ? "on" : "off",
            groupSize - 1,
            sent,
            all.getValueAtPercentile(50) / 1e3,
            all.getValueAtPercentile(99) / 1e3,
            all.getValueAtPercentile(99.9) / 1e3,
            sent - succeeded,
            used,
            group == 0
                ? String.format(
                    Locale.ROOT,
                    "%.0f",
                    (fleet.datagramProxy.bytes.get() - bytes) / (seconds + 1.5) / groupSize)
                : "0");
      }
      return answered;
    }
  }
}
