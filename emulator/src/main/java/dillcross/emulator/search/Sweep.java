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

/**
 * Runs a scenario with many seeds on several threads. Results do not depend on the number of
 * threads.
 */
public final class Sweep {
  /**
   * Totals over all runs.
   *
   * @param seeds number of runs
   * @param violations number of rule violations
   * @param steps number of events that ran on the virtual clocks
   * @param requests number of requests, including retries
   * @param iterations number of event loop iterations of all sidecars
   * @param simulatedUs virtual duration in µs
   * @param ns real duration in ns
   * @param digest digest of the runs' digests in the order of their seeds
   */
  public record Result(
      long seeds,
      long violations,
      long steps,
      long requests,
      long iterations,
      long simulatedUs,
      long ns,
      String digest) {}

  private final Scenario scenario;
  private final int jobs;

  /** Finished runs by seed, which wait for a run with a smaller seed to be reported. */
  private final Map<Long, Simulation.Result> unreported = new TreeMap<>();

  private final MessageDigest digest;
  private final Consumer<Simulation.Result> listener;
  private long nextSeed; // the smallest seed that has not been reported
  private long seeds;
  private long violations;
  private long steps;
  private long requests;
  private long iterations;
  private long simulatedUs;

  /**
   * Prepares a sweep.
   *
   * @param jobs number of threads
   * @param listener receives the results one at a time and in the order of their seeds, on any of
   *     the threads
   */
  public Sweep(Scenario scenario, int jobs, Consumer<Simulation.Result> listener) {
    this.scenario = scenario;
    this.jobs = jobs;
    this.listener = listener;
    digest = Sha256.newDigest();
  }

  /** Runs the scenario once with each seed from {@code from} to {@code to}, both included. */
  public Result run(long from, long to) throws InterruptedException {
    long startNs = System.nanoTime();
    nextSeed = from;
    AtomicLong nextUnstarted = new AtomicLong(from);
    // Limits the finished runs that wait for a slow one with a smaller seed, to bound the memory.
    Semaphore permits = new Semaphore(64 * jobs);
    ExecutorService threads = Executors.newFixedThreadPool(jobs);
    try {
      var workers =
          java.util.stream.IntStream.range(0, jobs)
              .mapToObj(
                  i ->
                      threads.submit(
                          () -> {
                            permits.acquire();
                            for (long s; (s = nextUnstarted.getAndIncrement()) <= to; ) {
                              permits.release(complete(Simulation.run(scenario, s)));
                              permits.acquire();
                            }
                            permits.release(1); // the last permit, which was not used for a run
                            return null;
                          }))
              .toList();
      for (var worker : workers) {
        worker.get();
      }
    } catch (ExecutionException e) {
      throw new IllegalStateException("a simulation run failed: " + e.getCause(), e.getCause());
    } finally {
      threads.shutdownNow();
    }
    return new Result(
        seeds,
        violations,
        steps,
        requests,
        iterations,
        simulatedUs,
        System.nanoTime() - startNs,
        Sha256.format(digest));
  }

  /**
   * Adds a finished run, and reports all runs that now follow in the order of the seeds.
   *
   * @return number of runs that were reported
   */
  private synchronized int complete(Simulation.Result result) {
    unreported.put(result.seed(), result);
    int reported = 0;
    for (Simulation.Result one;
        (one = unreported.remove(nextSeed)) != null;
        nextSeed++, reported++) {
      digest.update(one.digest().getBytes(StandardCharsets.US_ASCII));
      seeds++;
      violations += one.violationCount();
      steps += one.steps();
      requests += one.requests();
      iterations += one.iterations();
      simulatedUs += one.simulatedUs();
      listener.accept(one);
    }
    return reported;
  }
}
