package dillcross.emulator.simulation;

import java.util.HashMap;
import java.util.Map;

/** The idempotency keys that a deduplication group of endpoints has executed requests for. */
final class DeduplicationMemory {
  private final Map<String, Long> executedAtUs = new HashMap<>(); // latest execution by key

  /**
   * Records an execution and returns true, or returns false if the key was already executed within
   * the window before {@code nowUs}.
   */
  boolean recordIfFirst(String key, long nowUs, long windowUs) {
    Long previousUs = executedAtUs.get(key);
    if (previousUs != null && nowUs - previousUs <= windowUs) {
      return false;
    }
    executedAtUs.put(key, nowUs);
    return true;
  }
}
