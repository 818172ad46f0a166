package dillcross.emulator.simulation;

import java.util.HashMap;
import java.util.Map;

/** What a group of endpoints remembers of the keyed work that it carried out. */
final class DeduplicationMemory {
  private final Map<String, Long> seen = new HashMap<>();

  /** Whether this is the first time within the window. */
  boolean first(String key, long nowUs, long windowUs) {
    Long before = seen.get(key);
    if (before != null && nowUs - before <= windowUs) {
      return false;
    }
    seen.put(key, nowUs);
    return true;
  }
}
