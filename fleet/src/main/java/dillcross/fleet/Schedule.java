package dillcross.fleet;

import dillcross.emulator.random.RandomStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The faults of one experiment run, drawn from the seed alone, so that one seed gives the same
 * schedule on every machine.
 *
 * @param faults the faults, ordered by start time
 */
record Schedule(List<ScheduledFault> faults) {
  private static final int MILLIS_PER_SECOND = 1000;
  private static final Set<Experiment.Kind> WITHOUT_PEERS =
      Set.of(Experiment.Kind.KILL, Experiment.Kind.PAUSE, Experiment.Kind.CLOCK);

  /**
   * One fault with its time.
   *
   * @param atMs its start, in milliseconds from when all members have found each other
   * @param forMs its duration, in milliseconds; a member killed for 0 ms is not restarted
   * @param fault the fault as described in the experiment file
   * @param of the members affected
   * @param to the members at the other end, for faults between members; unused by kill, pause and
   *     clock
   */
  record ScheduledFault(
      long atMs, long forMs, Experiment.Fault fault, Set<Integer> of, Set<Integer> to) {
    /** Describes the fault in one line, for reports. */
    String describe() {
      String peers = WITHOUT_PEERS.contains(fault.kind()) ? "" : " to " + names(to);
      String duration = forMs > 0 ? " for " + forMs + " ms" : " for good";
      return fault.kind().configName() + " of " + names(of) + peers + duration;
    }

    private static String names(Set<Integer> members) {
      return members.stream().map(Fleet::name).collect(Collectors.joining(","));
    }
  }

  /** Draws the faults of an experiment, each repetition from a random stream of its own. */
  static Schedule draw(Experiment experiment, long seed) {
    List<ScheduledFault> drawn = new ArrayList<>();
    RandomStream stream = RandomStream.of(seed).named("schedule");
    for (int i = 0; i < experiment.faults().size(); i++) {
      Experiment.Fault fault = experiment.faults().get(i);
      for (int repetition = 0; repetition < fault.times(); repetition++) {
        RandomStream random = stream.named(i + " " + repetition);
        drawn.add(draw(experiment, fault, repetition, random));
      }
    }
    drawn.sort(Comparator.comparingLong(ScheduledFault::atMs));
    return new Schedule(drawn);
  }

  private static ScheduledFault draw(
      Experiment experiment, Experiment.Fault fault, int repetition, RandomStream random) {
    double firstSeconds = random.between(fault.atS().min(), fault.atS().max());
    long atMs = Math.round(MILLIS_PER_SECOND * (firstSeconds + repetition * fault.every()));
    double durationSeconds = random.between(fault.forS().min(), fault.forS().max());
    long forMs = Math.round(MILLIS_PER_SECOND * durationSeconds);
    MemberSelector selector = new MemberSelector(experiment, random);
    Set<Integer> of = selector.select(fault.of(), Set.of());
    Set<Integer> to = selector.select(fault.to(), of);
    return new ScheduledFault(atMs, forMs, fault, of, to);
  }

  /**
   * The end of the last fault, in milliseconds from when all members have found each other; 0 if
   * there are no faults.
   */
  long endMs() {
    return faults.stream().mapToLong(drawn -> drawn.atMs + drawn.forMs).max().orElse(0);
  }
}
