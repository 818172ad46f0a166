package dillcross.emulator.simulation;

import dillcross.emulator.random.RandomStream;
import dillcross.emulator.time.TimeUnits;

/** Poisson arrivals of requests at one sidecar, at a rate that faults can change during the run. */
final class ArrivalProcess {
  /** Longest wait before the rate is read again, so that a changed rate applies soon. */
  private static final long MAX_WAIT_US = 50_000;

  private final SimulationContext context;
  private final RandomStream random;
  private final double baseRatePerSecond;
  private final Runnable onArrival;
  private double rateFactor = 1;

  /**
   * Creates a process that draws its waits from {@code random}. {@code onArrival} may draw from the
   * same stream.
   */
  ArrivalProcess(
      SimulationContext context,
      RandomStream random,
      double baseRatePerSecond,
      Runnable onArrival) {
    this.context = context;
    this.random = random;
    this.baseRatePerSecond = baseRatePerSecond;
    this.onArrival = onArrival;
  }

  /** Multiplies the rate; factors of overlapping faults multiply. */
  void multiplyRate(double factor) {
    rateFactor *= factor;
  }

  /** Generates arrivals from now until the given time in µs. */
  void runUntil(long untilUs) {
    double ratePerSecond = baseRatePerSecond * rateFactor;
    long waitUs = waitUs(ratePerSecond);
    context.after(
        waitUs,
        () -> {
          if (context.now() < untilUs) {
            // A wait cut to the maximum brings no arrival and is drawn again. That does not change
            // the distribution, since exponential waits are memoryless.
            if (ratePerSecond > 0 && waitUs < MAX_WAIT_US) {
              onArrival.run();
            }
            runUntil(untilUs);
          }
        });
  }

  private long waitUs(double ratePerSecond) {
    if (ratePerSecond <= 0) {
      return MAX_WAIT_US;
    }
    double meanUs = TimeUnits.MICROS_PER_SECOND / ratePerSecond;
    return Math.min(MAX_WAIT_US, Math.round(random.exponential(meanUs)));
  }
}
