package dillcross.emulator.simulation;

import java.util.HashMap;
import java.util.Map;

/** The keyed work that a group of endpoints remembers having carried out. */
final class DeduplicationMemory {
  private final Map<String, Long> executedAtUs = new HashMap<>();

  /** Records an execution and tells whether it is the first one of its key within the window. */
  boolean first(String key, long nowUs, long windowUs) {
    Long previousUs = executedAtUs.get(key);
    if (previousUs != null && nowUs - previousUs <= windowUs) {
      return false;
    }
    executedAtUs.put(key, nowUs);
    return true;
  }
}
