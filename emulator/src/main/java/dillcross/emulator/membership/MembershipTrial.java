package dillcross.emulator.membership;

import dillcross.emulator.random.RandomStream;
import dillcross.membership.Member;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Measures failure detection: starts a cluster, brings a fault on it, kills some members, and
 * records how soon the others detect this and which live members they declare dead.
 */
public final class MembershipTrial {
  /** The fault of a trial, in addition to the kill of one in twenty members. */
  public enum Fault {
    /** No further fault. */
    NONE,
    /** 30 % of the datagrams are lost; others are delayed or duplicated. */
    LOSS30,
    /** Every second member receives nothing from the member after it. */
    ONE_WAY,
    /** The cluster is partitioned into two halves for 2 s of every 4 s. */
    FLAPPING_CUT,
    /** The cluster is partitioned into two halves. */
    HALVES,
    /** Every tenth member is suspended now and then, for up to 3 s. */
    PAUSES,
    /** Datagrams of every tenth member are delayed by up to 0.6 s. */
    SLOW,
    /** All of the above, except for {@link #HALVES} and {@link #SLOW}, at once. */
    ALL;

    /** The name on the command line and in reports, for example {@code one-way}. */
    public String word() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }

  /**
   * The outcome of one trial.
   *
   * @param detectMs time in ms from the kill until a running member declares a killed one dead, for
   *     each such pair in which this happened
   * @param falseDeaths number of pairs in which a member declares another one dead that runs and is
   *     not in the other half of a partition; -1 if the cluster did not form
   * @param convergedMs time in ms from the end of the faults until the tables of all running
   *     members list exactly the running ones as live; -1 if this did not happen within 180 s
   * @param bytesPerSecond mean bytes per second that a member sends in a stable cluster
   * @param memberHours virtual hours of observation, summed over the members
   */
  public record Result(
      Fault fault,
      int members,
      long seed,
      List<Long> detectMs,
      long falseDeaths,
      long convergedMs,
      double bytesPerSecond,
      double memberHours) {}

  private static final long SECOND_US = 1_000_000;

  /** Time in µs between two reads of all tables. */
  private static final long SAMPLING_INTERVAL_US = 50_000;

  /**
   * Number of members above which tables are read less often, as reading all takes quadratic time.
   */
  private static final int LARGE_CLUSTER = 200;

  private MembershipTrial() {}

  /**
   * Runs one trial.
   *
   * @param members number of members, at least 4, of which the first 3 are seeds and not killed
   */
  public static Result run(int members, Fault fault, long seed) {
    MembershipCluster cluster = new MembershipCluster(members, 3, 3, SECOND_US, 400, seed);
    RandomStream random = RandomStream.of(seed).named("trial");
    for (int i = 0; i < members; i++) {
      int member = i;
      cluster.schedule(random.between(0, 2 * SECOND_US), () -> cluster.start(member, 0));
    }
    long joinedMs = converge(cluster, members, 120);
    if (joinedMs < 0) {
      return new Result(fault, members, seed, List.of(), -1, -1, 0, 0);
    }
    cluster.advance(30 * SECOND_US); // until all updates have been disseminated
    long bytesBefore = cluster.bytes();
    cluster.advance(20 * SECOND_US);
    double bytesPerSecond = (cluster.bytes() - bytesBefore) / 20.0 / members;
    startFaults(cluster, members, fault, random);
    cluster.advance(5 * SECOND_US);
    List<Integer> killed = new ArrayList<>();
    for (int i = 0; i < Math.max(1, members / 20); i++) {
      killed.add(3 + (int) random.between(0, members - 4L));
    }
    killed.stream().distinct().forEach(cluster::kill);
    Map<Long, Long> detectMsByPair = new TreeMap<>(); // key: observer * members + subject
    Set<Long> falselyDeadPairs = new TreeSet<>();
    long killedUs = cluster.now();
    boolean isPartitioned = fault == Fault.HALVES;
    long sampleUs = members > LARGE_CLUSTER ? 10 * SAMPLING_INTERVAL_US : SAMPLING_INTERVAL_US;
    for (long t = 0; t < 60 * SECOND_US; t += sampleUs) {
      cluster.advance(sampleUs);
      for (int i = 0; i < members; i++) {
        if (cluster.runs(i)) {
          for (Member m : cluster.membership(i).members()) {
            if (!m.record().state().isLive()) {
              int subject = Integer.parseInt(m.record().name().substring(1));
              long pair = (long) i * members + subject;
              if (!cluster.runs(subject)) {
                detectMsByPair.putIfAbsent(pair, (cluster.now() - killedUs) / 1000);
              } else if (!isPartitioned || (i < members / 2) == (subject < members / 2)) {
                falselyDeadPairs.add(pair);
              }
            }
          }
        }
      }
    }
    cluster.faults().clear();
    long convergedMs = converge(cluster, members, 180);
    return new Result(
        fault,
        members,
        seed,
        List.copyOf(detectMsByPair.values()),
        falselyDeadPairs.size(),
        convergedMs,
        bytesPerSecond,
        members * 60 / 3600.0);
  }

  private static void startFaults(
      MembershipCluster cluster, int members, Fault fault, RandomStream random) {
    boolean all = fault == Fault.ALL;
    if (fault == Fault.LOSS30 || all) {
      cluster.faults().add(new MembershipCluster.LinkFault(i -> true, i -> true, 0.3, 20_000, 0.1));
    }
    if (fault == Fault.ONE_WAY || all) {
      for (int i = 0; i < members; i += 2) {
        int receiver = i;
        cluster
            .faults()
            .add(
                new MembershipCluster.LinkFault(
                    f -> f == (receiver + 1) % members, t -> t == receiver, 1, 0, 0));
      }
    }
    if (fault == Fault.FLAPPING_CUT || all) {
      int from = members / 2;
      MembershipCluster.LinkFault cut =
          new MembershipCluster.LinkFault(i -> i < from, i -> i >= from, 1, 0, 0);
      MembershipCluster.LinkFault back =
          new MembershipCluster.LinkFault(i -> i >= from, i -> i < from, 1, 0, 0);
      for (int k = 0; k < 15; k++) {
        cluster.schedule(k * 4L * SECOND_US, () -> cluster.faults().addAll(List.of(cut, back)));
        cluster.schedule(
            k * 4L * SECOND_US + 2 * SECOND_US,
            () -> cluster.faults().removeAll(List.of(cut, back)));
      }
    }
    if (fault == Fault.HALVES) {
      int from = members / 2;
      cluster.faults().add(new MembershipCluster.LinkFault(i -> i < from, i -> i >= from, 1, 0, 0));
      cluster.faults().add(new MembershipCluster.LinkFault(i -> i >= from, i -> i < from, 1, 0, 0));
    }
    if (fault == Fault.PAUSES || all) {
      // Some pauses are longer than the timeout of a probe, so that probes of live members fail.
      for (int i = 0; i < members; i += 10) {
        int member = i;
        for (int k = 0; k < 6; k++) {
          cluster.schedule(
              k * 10L * SECOND_US + random.between(0, 5 * SECOND_US),
              () -> {
                if (cluster.runs(member)) {
                  cluster.pause(member, random.between(SECOND_US / 2, 3 * SECOND_US));
                }
              });
        }
      }
    }
    if (fault == Fault.SLOW) {
      // Many replies arrive after the probe timeout of 0.3 s, when indirect probes have been sent.
      cluster
          .faults()
          .add(new MembershipCluster.LinkFault(i -> i % 10 == 0, i -> true, 0, 600_000, 0));
    }
  }

  /**
   * Advances the cluster until the tables of all running members list exactly the running ones as
   * live.
   *
   * @return the virtual time in ms that this took; -1 if it did not happen within the seconds
   */
  private static long converge(MembershipCluster cluster, int members, long seconds) {
    long startUs = cluster.now();
    while (cluster.now() - startUs <= seconds * SECOND_US) {
      cluster.advance(members > LARGE_CLUSTER ? SECOND_US / 2 : SECOND_US / 10);
      long running = 0;
      for (int i = 0; i < members; i++) {
        running += cluster.runs(i) ? 1 : 0;
      }
      boolean agree = running > 0;
      for (int i = 0; i < members && agree; i++) {
        agree =
            !cluster.runs(i)
                || (cluster.membership(i).liveCount() == running - 1
                    && cluster.membership(i).members().stream()
                        .allMatch(
                            m ->
                                !m.record().state().isLive()
                                    || cluster.runs(
                                        Integer.parseInt(m.record().name().substring(1)))));
      }
      if (agree) {
        return (cluster.now() - startUs) / 1000;
      }
    }
    return -1;
  }

  /**
   * Runs trials of each fault with the seeds from {@code from} to {@code to}, and prints a Markdown
   * table with a row per fault.
   *
   * @param jobs number of threads
   * @return whether the cluster converged after each trial
   */
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
        var trials =
            java.util.stream.LongStream.rangeClosed(from, to)
                .mapToObj(s -> threads.submit(() -> run(members, fault, s)))
                .toList();
        results = new ArrayList<>();
        for (var trial : trials) {
          results.add(trial.get());
        }
      } catch (java.util.concurrent.ExecutionException e) {
        throw new IllegalStateException("a trial failed: " + e.getCause(), e.getCause());
      } finally {
        threads.shutdownNow();
      }
      List<Long> detectMs = results.stream().flatMap(r -> r.detectMs.stream()).sorted().toList();
      List<Long> convergedMs = results.stream().map(Result::convergedMs).sorted().toList();
      long unconverged = convergedMs.stream().filter(c -> c < 0).count();
      double hours = results.stream().mapToDouble(Result::memberHours).sum();
      long falseDeaths = results.stream().mapToLong(Result::falseDeaths).sum();
      out.accept(
          String.format(
              Locale.ROOT,
              "| %d | %s | %d | %s | %s | %s | %d | %.2f | %s | %s | %.0f |",
              members,
              fault.word(),
              results.size(),
              seconds(detectMs, 0.5),
              seconds(detectMs, 0.99),
              seconds(detectMs, 1),
              unconverged,
              falseDeaths / Math.max(1e-9, hours),
              seconds(convergedMs, 0.5),
              seconds(convergedMs, 1),
              results.stream().mapToDouble(Result::bytesPerSecond).average().orElse(0)));
      clean &= unconverged == 0;
    }
    return clean;
  }

  /** A quantile of sorted values in ms as text in seconds; {@code -} if there are none. */
  private static String seconds(List<Long> sorted, double quantile) {
    return sorted.isEmpty()
        ? "-"
        : String.format(
            Locale.ROOT,
            "%.1f s",
            sorted.get((int) Math.min(sorted.size() - 1, quantile * sorted.size())) / 1000.0);
  }
}
