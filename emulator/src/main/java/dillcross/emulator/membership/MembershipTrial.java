package dillcross.emulator.membership;

import dillcross.emulator.random.RandomStream;
import dillcross.membership.Member;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * One fault, or all at once, on a cluster that knows itself; what is found of it, how soon, and
 * what is found wrongly.
 */
public final class MembershipTrial {
  /** What is wrong during the trial, besides one in twenty killed. */
  public enum Fault {
    NONE,
    LOSS30,
    ONE_WAY,
    FLAPPING_CUT,
    HALVES,
    PAUSES,
    SLOW,
    ALL;

    public String word() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }

  /**
   * What came of one trial.
   *
   * @param detectMs from a kill until each of the others held it dead, a value for each pair
   * @param falseDeaths live members held dead by somebody that they could reach, pairs
   * @param convergedMs from the end of all faults until all held just the live ones for alive; -1
   *     where it did not come
   * @param bytesASecond for each member, while nothing changed
   */
  public record Result(
      Fault fault,
      int members,
      long seed,
      List<Long> detectMs,
      long falseDeaths,
      long convergedMs,
      double bytesASecond,
      double memberHours) {}

  private static final long S = 1_000_000;
  private static final long LOOK = 50_000;

  private MembershipTrial() {}

  public static Result play(int members, Fault fault, long seed) {
    MembershipCluster cluster = new MembershipCluster(members, 3, 3, S, 400, seed);
    RandomStream random = RandomStream.of(seed).named("trial");
    for (int i = 0; i < members; i++) {
      int member = i;
      cluster.after(random.between(0, 2 * S), () -> cluster.start(member, 0));
    }
    long joined = converged(cluster, members, 120);
    if (joined < 0) {
      return new Result(fault, members, seed, List.of(), -1, -1, 0, 0);
    }
    cluster.pass(30 * S); // news are told to the end
    long before = cluster.bytes();
    cluster.pass(20 * S);
    double rate = (cluster.bytes() - before) / 20.0 / members;
    faults(cluster, members, fault, random);
    cluster.pass(5 * S);
    List<Integer> killed = new ArrayList<>();
    for (int i = 0; i < Math.max(1, members / 20); i++) {
      killed.add(3 + (int) random.between(0, members - 4L));
    }
    killed.stream().distinct().forEach(cluster::kill);
    Map<Long, Long> found = new TreeMap<>(); // by observer and subject
    Map<Long, Boolean> wrong = new TreeMap<>();
    long from = cluster.now();
    boolean halves = fault == Fault.HALVES;
    for (long t = 0; t < 60 * S; t += members > 200 ? 10 * LOOK : LOOK) {
      cluster.pass(members > 200 ? 10 * LOOK : LOOK);
      for (int i = 0; i < members; i++) {
        if (cluster.runs(i)) {
          for (Member m : cluster.of(i).members()) {
            if (!m.record().state().isLive()) {
              int subject = Integer.parseInt(m.record().name().substring(1));
              long pair = (long) i * members + subject;
              if (!cluster.runs(subject)) {
                found.putIfAbsent(pair, (cluster.now() - from) / 1000);
              } else if (!halves || (i < members / 2) == (subject < members / 2)) {
                wrong.put(pair, true);
              }
            }
          }
        }
      }
    }
    cluster.faults().clear();
    long converged = converged(cluster, members, 180);
    return new Result(
        fault,
        members,
        seed,
        List.copyOf(found.values()),
        wrong.size(),
        converged,
        rate,
        members * 60 / 3600.0);
  }

  private static void faults(
      MembershipCluster cluster, int members, Fault fault, RandomStream random) {
    boolean all = fault == Fault.ALL;
    if (fault == Fault.LOSS30 || all) {
      cluster.faults().add(new MembershipCluster.LinkFault(i -> true, i -> true, 0.3, 20_000, 0.1));
    }
    if (fault == Fault.ONE_WAY || all) {
      for (int i = 0; i < members; i += 2) { // half of the members hear nothing from one other each
        int deaf = i;
        cluster
            .faults()
            .add(
                new MembershipCluster.LinkFault(
                    f -> f == (deaf + 1) % members, t -> t == deaf, 1, 0, 0));
      }
    }
    if (fault == Fault.FLAPPING_CUT || all) {
      int from = members / 2;
      MembershipCluster.LinkFault cut =
          new MembershipCluster.LinkFault(i -> i < from, i -> i >= from, 1, 0, 0);
      MembershipCluster.LinkFault back =
          new MembershipCluster.LinkFault(i -> i >= from, i -> i < from, 1, 0, 0);
      for (int k = 0; k < 15; k++) {
        cluster.after(k * 4L * S, () -> cluster.faults().addAll(List.of(cut, back)));
        cluster.after(k * 4L * S + 2 * S, () -> cluster.faults().removeAll(List.of(cut, back)));
      }
    }
    if (fault == Fault.HALVES) {
      int from = members / 2;
      cluster.faults().add(new MembershipCluster.LinkFault(i -> i < from, i -> i >= from, 1, 0, 0));
      cluster.faults().add(new MembershipCluster.LinkFault(i -> i >= from, i -> i < from, 1, 0, 0));
    }
    if (fault == Fault.PAUSES
        || all) { // a tenth stand still now and then, for longer than a probe waits
      for (int i = 0; i < members; i += 10) {
        int member = i;
        for (int k = 0; k < 6; k++) {
          cluster.after(
              k * 10L * S + random.between(0, 5 * S),
              () -> {
                if (cluster.runs(member)) {
                  cluster.pause(member, random.between(S / 2, 3 * S));
                }
              });
        }
      }
    }
    if (fault == Fault.SLOW) { // answers of a tenth come after every time-out of a probe
      cluster
          .faults()
          .add(new MembershipCluster.LinkFault(i -> i % 10 == 0, i -> true, 0, 600_000, 0));
    }
  }

  /**
   * Milliseconds until all that run hold just these for alive; -1 where it does not come within so
   * many seconds.
   */
  private static long converged(MembershipCluster cluster, int members, long seconds) {
    long from = cluster.now();
    while (cluster.now() - from <= seconds * S) {
      cluster.pass(members > 200 ? S / 2 : S / 10);
      long running = 0;
      for (int i = 0; i < members; i++) {
        running += cluster.runs(i) ? 1 : 0;
      }
      boolean agree = running > 0;
      for (int i = 0; i < members && agree; i++) {
        agree =
            !cluster.runs(i)
                || (cluster.of(i).liveCount() == running - 1
                    && cluster.of(i).members().stream()
                        .allMatch(
                            m ->
                                !m.record().state().isLive()
                                    || cluster.runs(
                                        Integer.parseInt(m.record().name().substring(1)))));
      }
      if (agree) {
        return (cluster.now() - from) / 1000;
      }
    }
    return -1;
  }

  /** Plays seeds of each fault and says a row of each. */
  public static boolean table(
      int members, long from, long to, List<Fault> faults, int jobs, Consumer<String> out)
      throws InterruptedException {
    out.accept(
        "| members | fault | seeds | detect p50 | p99 | worst | not found | false deaths an hour (a member) | converged p50 | worst | bytes/s a member |");
    out.accept("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    boolean clean = true;
    for (Fault fault : faults) {
      List<Result> results;
      var threads = java.util.concurrent.Executors.newFixedThreadPool(jobs);
      try {
        var all =
            java.util.stream.LongStream.rangeClosed(from, to)
                .mapToObj(s -> threads.submit(() -> play(members, fault, s)))
                .toList();
        results = new ArrayList<>();
        for (var one : all) {
          results.add(one.get());
        }
      } catch (java.util.concurrent.ExecutionException e) {
        throw new IllegalStateException("a trial failed: " + e.getCause(), e.getCause());
      } finally {
        threads.shutdownNow();
      }
      List<Long> detect = results.stream().flatMap(r -> r.detectMs.stream()).sorted().toList();
      List<Long> conv = results.stream().map(Result::convergedMs).sorted().toList();
      long never = conv.stream().filter(c -> c < 0).count();
      double hours = results.stream().mapToDouble(Result::memberHours).sum();
      long wrong = results.stream().mapToLong(Result::falseDeaths).sum();
      out.accept(
          String.format(
              Locale.ROOT,
              "| %d | %s | %d | %s | %s | %s | %d | %.2f | %s | %s | %.0f |",
              members,
              fault.word(),
              results.size(),
              seconds(detect, 0.5),
              seconds(detect, 0.99),
              seconds(detect, 1),
              never,
              wrong / Math.max(1e-9, hours),
              seconds(conv, 0.5),
              seconds(conv, 1),
              results.stream().mapToDouble(Result::bytesASecond).average().orElse(0)));
      clean &= never == 0;
    }
    return clean;
  }

  private static String seconds(List<Long> sorted, double part) {
    return sorted.isEmpty()
        ? "-"
        : String.format(
            Locale.ROOT,
            "%.1f s",
            sorted.get((int) Math.min(sorted.size() - 1, part * sorted.size())) / 1000.0);
  }
}
