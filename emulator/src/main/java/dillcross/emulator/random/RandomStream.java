package dillcross.emulator.random;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A stream of random numbers, determined by the seed of a run and the stream's name. Each part of a
 * run and each fault draws from a stream of its own, so that the draws of one do not shift those of
 * another. Not safe for use by several threads.
 */
public final class RandomStream {
  private static final long MIX_MULTIPLIER = 0x9E3779B97F4A7C15L;
  private static final int MIX_SHIFT = 29;
  private static final long NAME_HASH_START = 1125899906842597L;

  private final long seed;
  private final String path;
  private final UniformRandomProvider draws;

  private RandomStream(long seed, String path) {
    this.seed = seed;
    this.path = path;
    long nameHash = hash(path);
    long[] state = {seed, nameHash, seed * MIX_MULTIPLIER + nameHash, ~nameHash};
    draws = RandomSource.L64_X128_MIX.create(state);
  }

  private static long hash(String path) {
    long hash = NAME_HASH_START;
    for (int i = 0; i < path.length(); i++) {
      hash = (hash ^ path.charAt(i)) * MIX_MULTIPLIER;
      hash ^= hash >>> MIX_SHIFT;
    }
    return hash;
  }

  /** The root stream of a run with that seed. */
  public static RandomStream of(long seed) {
    return new RandomStream(seed, "");
  }

  /**
   * Creates the child stream with the given name, at its first number. Its numbers depend only on
   * the seed, the names of its ancestors and its own name, not on earlier draws.
   */
  public RandomStream named(String name) {
    return new RandomStream(seed, path + "/" + name);
  }

  /** True with the given probability; draws nothing if the probability is 0. */
  public boolean happens(double probability) {
    return probability > 0 && draws.nextDouble() < probability;
  }

  /**
   * Draws a whole number uniformly from {@code min} to {@code max}, both included; draws nothing if
   * the range has one value.
   */
  public long between(long min, long max) {
    return max <= min ? min : min + draws.nextLong(max - min + 1);
  }

  /** Draws a number uniformly from {@code min}, included, to {@code max}, excluded. */
  public double between(double min, double max) {
    return min + (max - min) * draws.nextDouble();
  }

  /**
   * Draws from the exponential distribution with the given mean; if the mean is not positive,
   * returns 0 and draws nothing.
   */
  public double exponential(double mean) {
    return mean <= 0 ? 0 : ZigguratSampler.Exponential.of(draws, mean).sample();
  }

  /**
   * Draws from the log-normal distribution with the given mean; {@code spread} is the standard
   * deviation of the logarithm. If {@code spread} is 0, returns the mean and draws nothing.
   */
  public double logNormal(double mean, double spread) {
    if (spread <= 0) {
      return mean;
    }
    double normal = ZigguratSampler.NormalizedGaussian.of(draws).sample();
    return mean * Math.exp(spread * normal - spread * spread / 2);
  }

  /** One of the elements, each with the same probability. */
  public <T> T oneOf(List<T> elements) {
    return elements.get(draws.nextInt(elements.size()));
  }

  /** Draws a long uniformly from all values, for instance as the seed of another generator. */
  public long any() {
    return draws.nextLong();
  }
}
