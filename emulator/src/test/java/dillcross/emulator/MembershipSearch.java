package dillcross.emulator;

import dillcross.emulator.membership.Explorer;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;

/**
 * Runs {@link Explorer} with the membership classes of its own class loader, among them one with a
 * planted fault.
 */
public final class MembershipSearch implements IntFunction<String> {
  /** Explores sequences of {@code depth} steps; returns the one that breaks a rule, or null. */
  @Override
  public String apply(int depth) {
    return Explorer.explore(depth, 11, new AtomicLong());
  }
}
