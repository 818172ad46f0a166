package dillcross.fleet;

import dillcross.emulator.random.RandomStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * What goes wrong when, drawn from the seed alone: the same for the same seed, whatever the machine
 * does.
 */
record Schedule(List<Drawn> faults) {
  /** One fault with its time; milliseconds from when all have found each other. */
  record Drawn(long atMs, long forMs, Experiment.Fault fault, Set<Integer> of, Set<Integer> to) {
    String describe() {
      return fault.kind().word()
          + " of "
          + names(of)
          + (fault.kind() == Experiment.Kind.KILL
                  || fault.kind() == Experiment.Kind.PAUSE
                  || fault.kind() == Experiment.Kind.CLOCK
              ? ""
              : " to " + names(to))
          + (forMs > 0 ? " for " + forMs + " ms" : " for good");
    }

    private static String names(Set<Integer> members) {
      return members.stream().map(Fleet::name).collect(Collectors.joining(","));
    }
  }

  static Schedule draw(Experiment experiment, long seed) {
    List<Drawn> drawn = new ArrayList<>();
    RandomStream all = RandomStream.of(seed).named("schedule");
    for (int i = 0; i < experiment.faults().size(); i++) {
      Experiment.Fault fault = experiment.faults().get(i);
      for (int k = 0; k < fault.times(); k++) {
        RandomStream own = all.named(i + " " + k);
        long at =
            Math.round(
                1000 * (own.between(fault.atS().min(), fault.atS().max()) + k * fault.every()));
        long lasts = Math.round(1000 * own.between(fault.forS().min(), fault.forS().max()));
        Set<Integer> of = whom(experiment, fault.of(), own, Set.of());
        drawn.add(new Drawn(at, lasts, fault, of, whom(experiment, fault.to(), own, of)));
      }
    }
    drawn.sort(Comparator.comparingLong(Drawn::atMs));
    return new Schedule(drawn);
  }

  private static Set<Integer> whom(
      Experiment experiment, String word, RandomStream random, Set<Integer> but) {
    List<Integer> all =
        IntStream.range(0, experiment.sidecars())
            .boxed()
            .collect(Collectors.toCollection(ArrayList::new));
    if (word.equals("others")) {
      all.removeAll(but);
    } else if (word.equals("any")) {
      all = List.of(random.oneOf(all));
    } else if (word.startsWith("s") && !word.startsWith("share:")) {
      all.retainAll(Set.of(Integer.parseInt(word.substring(1))));
    } else if (word.startsWith("zone:")) {
      all.removeIf(
          m -> !experiment.zones().get(m % experiment.zones().size()).equals(word.substring(5)));
    } else if (!word.equals("all")) {
      double share = word.equals("half") ? 0.5 : Double.parseDouble(word.substring(6));
      for (int i = all.size() - 1; i > 0; i--) {
        Collections.swap(all, i, (int) random.between(0L, i));
      }
      all = all.subList(0, Math.max(1, (int) Math.round(share * all.size())));
    }
    return new TreeSet<>(all);
  }

  long endMs() {
    return faults.stream().mapToLong(d -> d.atMs + d.forMs).max().orElse(0);
  }
}
