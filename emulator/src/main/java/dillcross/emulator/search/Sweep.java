package dillcross.emulator.search;

import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.simulation.Simulation;
import dillcross.emulator.trace.Sha256;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** Many seeds of one scenario, several at a time; what comes of it does not depend on how many. */
public final class Sweep {
  /**
   * What became of all of them; the digest is over those of the days in the order of their seeds.
   */
  public record Result(
      long seeds,
      long broken,
      long steps,
      long requests,
      long turns,
      long simulatedUs,
      long ns,
      String digest) {}

  private final Scenario scenario;
  private final int jobs;
  private final Map<Long, Simulation.Result> early = new TreeMap<>(); // done before their turn
  private final MessageDigest digest;
  private final Consumer<Simulation.Result> each;
  private long next;
  private long seeds;
  private long broken;
  private long steps;
  private long requests;
  private long turns;
  private long simulatedUs;

  /** {@code each} hears of the days one at a time and in the order of their seeds. */
  public Sweep(Scenario scenario, int jobs, Consumer<Simulation.Result> each) {
    this.scenario = scenario;
    this.jobs = jobs;
    this.each = each;
    digest = Sha256.newDigest();
  }

  /** Plays the seeds from one to the other. */
  public Result play(long from, long to) throws InterruptedException {
    long startNs = System.nanoTime();
    next = from;
    AtomicLong seed = new AtomicLong(from);
    Semaphore ahead =
        new Semaphore(64 * jobs); // a slow day must not let the others fill the memory
    ExecutorService threads = Executors.newFixedThreadPool(jobs);
    try {
      var all =
          java.util.stream.IntStream.range(0, jobs)
              .mapToObj(
                  i ->
                      threads.submit(
                          () -> {
                            ahead.acquire();
                            for (long s; (s = seed.getAndIncrement()) <= to; ) {
                              ahead.release(done(Simulation.run(scenario, s)));
                              ahead.acquire();
                            }
                            ahead.release(1); // what it holds goes to those that still play
                            return null;
                          }))
              .toList();
      for (var one : all) {
        one.get();
      }
    } catch (ExecutionException e) {
      throw new IllegalStateException("a day failed: " + e.getCause(), e.getCause());
    } finally {
      threads.shutdownNow();
    }
    return new Result(
        seeds,
        broken,
        steps,
        requests,
        turns,
        simulatedUs,
        System.nanoTime() - startNs,
        Sha256.format(digest));
  }

  /** Reports what has become complete in the order of the seeds; how many days that were. */
  private synchronized int done(Simulation.Result day) {
    early.put(day.seed(), day);
    int reported = 0;
    for (Simulation.Result one; (one = early.remove(next)) != null; next++, reported++) {
      digest.update(one.digest().getBytes(StandardCharsets.US_ASCII));
      seeds++;
      broken += one.violationCount();
      steps += one.steps();
      requests += one.requests();
      turns += one.iterations();
      simulatedUs += one.simulatedUs();
      each.accept(one);
    }
    return reported;
  }
}
