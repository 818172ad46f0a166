package dillcross.emulator.network;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Faults of the links between zones: partitions, during which traffic is held back to be sent again
 * afterwards, and additional delays. A link is an unordered pair of zones, so a fault applies in
 * both directions.
 */
final class ZoneLinks {
  /** Number of active partitions by link; links without a partition are absent. */
  private final Map<String, Integer> partitionCounts = new LinkedHashMap<>();

  /** Additional one-way delays in µs by link. */
  private final Map<String, Long> lagsUs = new LinkedHashMap<>();

  /** Transmissions that wait for the end of a partition, by link. */
  private final Map<String, List<Runnable>> heldBack = new LinkedHashMap<>();

  /** Starts or ends one partition. The end of the last one sends held-back traffic again. */
  void partition(String zone, String otherZone, boolean isStarting) {
    String link = link(zone, otherZone);
    int count = partitionCounts.merge(link, isStarting ? 1 : -1, Integer::sum);
    if (count == 0) {
      partitionCounts.remove(link);
      List<Runnable> waiting = heldBack.remove(link);
      if (waiting != null) {
        waiting.forEach(Runnable::run);
      }
    }
  }

  boolean isPartitioned(VirtualMachine from, VirtualMachine to) {
    return !from.isSameMachine(to)
        && !partitionCounts.isEmpty()
        && partitionCounts.containsKey(link(from.zone(), to.zone()));
  }

  /** Stores the transmission, and runs it when the partition between the machines ends. */
  void holdBack(VirtualMachine from, VirtualMachine to, Runnable transmission) {
    heldBack
        .computeIfAbsent(link(from.zone(), to.zone()), link -> new ArrayList<>())
        .add(transmission);
  }

  /** Adds a one-way delay in µs; a negative value removes a delay that was added before. */
  void addLag(String zone, String otherZone, long lagUs) {
    lagsUs.merge(link(zone, otherZone), lagUs, Long::sum);
  }

  /** Additional one-way delay in µs; 0 without a fault. */
  long lagUs(VirtualMachine from, VirtualMachine to) {
    return lagsUs.isEmpty() ? 0 : lagsUs.getOrDefault(link(from.zone(), to.zone()), 0L);
  }

  private static String link(String zone, String otherZone) {
    boolean isInOrder = zone.compareTo(otherZone) <= 0;
    return isInOrder ? zone + "|" + otherZone : otherZone + "|" + zone;
  }
}
