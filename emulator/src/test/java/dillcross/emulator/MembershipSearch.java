package dillcross.emulator;

import dillcross.emulator.membership.Explorer;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;

/** Explores sequences of steps with the class that its loader has; what broke, or null. */
public final class MembershipSearch implements IntFunction<String> {
  @Override
  public String apply(int depth) {
    return Explorer.explore(depth, 11, new AtomicLong());
  }
}
