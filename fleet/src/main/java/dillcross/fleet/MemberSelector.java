package dillcross.fleet;

import dillcross.emulator.random.RandomStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Selects the members that a fault applies to, by the selectors of the experiment file: {@code
 * any}, {@code half}, {@code all}, {@code others}, {@code sN}, {@code zone:NAME} or {@code
 * share:X}.
 */
final class MemberSelector {
  private static final String ALL = "all";
  private static final String ANY = "any";
  private static final String HALF = "half";
  private static final String OTHERS = "others";
  private static final String MEMBER_PREFIX = "s";
  private static final String ZONE_PREFIX = "zone:";
  private static final String SHARE_PREFIX = "share:";
  private static final double HALF_SHARE = 0.5;

  private final Experiment experiment;
  private final RandomStream random;

  MemberSelector(Experiment experiment, RandomStream random) {
    this.experiment = experiment;
    this.random = random;
  }

  /**
   * The numbers of the selected members.
   *
   * @param selector as given in the experiment file, already validated
   * @param excluded the members that {@code others} leaves out
   */
  Set<Integer> select(String selector, Set<Integer> excluded) {
    List<Integer> members =
        IntStream.range(0, experiment.sidecars())
            .boxed()
            .collect(Collectors.toCollection(ArrayList::new));
    if (selector.equals(OTHERS)) {
      members.removeAll(excluded);
    } else if (selector.equals(ANY)) {
      members = List.of(random.oneOf(members));
    } else if (selector.equals(HALF)) {
      members = randomShare(members, HALF_SHARE);
    } else if (selector.startsWith(SHARE_PREFIX)) {
      double share = Double.parseDouble(selector.substring(SHARE_PREFIX.length()));
      members = randomShare(members, share);
    } else if (selector.startsWith(ZONE_PREFIX)) {
      String zone = selector.substring(ZONE_PREFIX.length());
      members.removeIf(member -> !zoneOf(member).equals(zone));
    } else if (!selector.equals(ALL)) {
      int number = Integer.parseInt(selector.substring(MEMBER_PREFIX.length()));
      members.retainAll(Set.of(number));
    }
    return new TreeSet<>(members);
  }

  private String zoneOf(int member) {
    List<String> zones = experiment.zones();
    return zones.get(member % zones.size());
  }

  /** A random share of the members, at least one member; shuffles the list. */
  private List<Integer> randomShare(List<Integer> members, double share) {
    for (int i = members.size() - 1; i > 0; i--) {
      Collections.swap(members, i, (int) random.between(0L, i));
    }
    return members.subList(0, Math.max(1, (int) Math.round(share * members.size())));
  }
}
