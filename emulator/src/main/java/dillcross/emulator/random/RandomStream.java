package dillcross.emulator.random;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * One stream of chance. Each part of the world, and each fault, has a stream of its own, named and
 * not numbered: what one draws, and whether it is there at all, shifts nothing of what another
 * draws.
 */
public final class RandomStream {
  private static final long MIX = 0x9E3779B97F4A7C15L;
  private final long seed;
  private final String path;
  private final UniformRandomProvider draws;

  private RandomStream(long seed, String path) {
    this.seed = seed;
    this.path = path;
    long name = 1125899906842597L;
    for (int i = 0; i < path.length(); i++) {
      name = (name ^ path.charAt(i)) * MIX;
      name ^= name >>> 29;
    }
    draws = RandomSource.L64_X128_MIX.create(new long[] {seed, name, seed * MIX + name, ~name});
  }

  public static RandomStream of(long seed) {
    return new RandomStream(seed, "");
  }

  /**
   * The stream of that name below this one; the same for the same seed, whatever was drawn before.
   */
  public RandomStream named(String name) {
    return new RandomStream(seed, path + "/" + name);
  }

  public boolean happens(double share) {
    return share > 0 && draws.nextDouble() < share;
  }

  /** Evenly from a range, its ends included. */
  public long between(long min, long max) {
    return max <= min ? min : min + draws.nextLong(max - min + 1);
  }

  public double between(double min, double max) {
    return min + (max - min) * draws.nextDouble();
  }

  /** Of a mean, with the spread of independent arrivals. */
  public double exponential(double mean) {
    return mean <= 0 ? 0 : ZigguratSampler.Exponential.of(draws, mean).sample();
  }

  /** Of a mean; the spread is that of the logarithm, 0 for none. */
  public double logNormal(double mean, double spread) {
    if (spread <= 0) {
      return mean;
    }
    double normal = ZigguratSampler.NormalizedGaussian.of(draws).sample();
    return mean * Math.exp(spread * normal - spread * spread / 2);
  }

  public <T> T oneOf(List<T> all) {
    return all.get(draws.nextInt(all.size()));
  }

  public long any() {
    return draws.nextLong();
  }
}
