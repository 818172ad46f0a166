package dillcross.emulator.network;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Faults of the links between zones: cuts, during which traffic is held back and retransmitted
 * afterwards, and additional delay. Links have no direction.
 */
final class ZoneLinks {
  private final Map<String, Integer> cutCounts = new LinkedHashMap<>();
  private final Map<String, Long> lagsUs = new LinkedHashMap<>();
  private final Map<String, List<Runnable>> heldBack = new LinkedHashMap<>();

  /** Starts or ends one cut; at the end of the last one, what was held back is sent again. */
  void cut(String zone, String otherZone, boolean isStarting) {
    String link = link(zone, otherZone);
    int count = cutCounts.merge(link, isStarting ? 1 : -1, Integer::sum);
    if (count == 0) {
      cutCounts.remove(link);
      List<Runnable> waiting = heldBack.remove(link);
      if (waiting != null) {
        waiting.forEach(Runnable::run);
      }
    }
  }

  boolean isCut(VirtualMachine from, VirtualMachine to) {
    return !from.isSameMachine(to)
        && !cutCounts.isEmpty()
        && cutCounts.containsKey(link(from.zone(), to.zone()));
  }

  /** Keeps the transmission until the link between the two is no longer cut. */
  void holdBack(VirtualMachine from, VirtualMachine to, Runnable transmission) {
    heldBack
        .computeIfAbsent(link(from.zone(), to.zone()), link -> new ArrayList<>())
        .add(transmission);
  }

  /** Adds delay in µs one way; a negative value takes it back. */
  void addLag(String zone, String otherZone, long lagUs) {
    lagsUs.merge(link(zone, otherZone), lagUs, Long::sum);
  }

  /** Additional delay in µs one way. */
  long lagUs(VirtualMachine from, VirtualMachine to) {
    return lagsUs.isEmpty() ? 0 : lagsUs.getOrDefault(link(from.zone(), to.zone()), 0L);
  }

  private static String link(String zone, String otherZone) {
    boolean isInOrder = zone.compareTo(otherZone) <= 0;
    return isInOrder ? zone + "|" + otherZone : otherZone + "|" + zone;
  }
}
