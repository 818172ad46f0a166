package dillcross.net.events;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.logging.Logger;
import java.util.stream.Collectors;

/**
 * Counts events, and logs some of them: a token bucket bounds the lines, because a client could
 * otherwise fill the log, and the log is written by the selector thread. A line says how many
 * events were counted and not logged since the last one. Belongs to the selector thread.
 */
public final class RequestEvents {
  private static final Logger LOG = Logger.getLogger(RequestEvents.class.getName());
  private static final int MAX_BURST_LINES = 50;
  private static final long LINE_INTERVAL_US = 200_000;
  private static final int MAX_DETAILS_CHARS = 300; // they hold text of clients

  private final LongSupplier clock;
  private final Map<RequestEvent, Long> counts = new EnumMap<>(RequestEvent.class);
  private long bucketUs; // when the bucket is full again; one line costs LINE_INTERVAL_US
  private long unloggedCount;

  /** Creates counters at 0; {@code clock} gives microseconds. */
  public RequestEvents(LongSupplier clock) {
    this.clock = clock;
  }

  /**
   * Counts an event, and logs it unless there were too many.
   *
   * @param details what identifies the request and why it happened; called only if it is logged
   */
  public void record(RequestEvent event, Supplier<String> details) {
    counts.merge(event, 1L, Long::sum);
    long nowUs = clock.getAsLong();
    long nextUs = Math.max(bucketUs, nowUs) + LINE_INTERVAL_US;
    if (nextUs - nowUs > MAX_BURST_LINES * LINE_INTERVAL_US) {
      unloggedCount++;
      return;
    }
    bucketUs = nextUs;
    String unlogged = unloggedCount == 0 ? "" : " (" + unloggedCount + " events not logged before)";
    unloggedCount = 0;
    LOG.info(() -> event.text() + ": " + shorten(details.get()) + unlogged);
  }

  private static String shorten(String details) {
    return details.substring(0, Math.min(details.length(), MAX_DETAILS_CHARS));
  }

  /** How often the event was recorded. */
  public long count(RequestEvent event) {
    return counts.getOrDefault(event, 0L);
  }

  /** All counters that are not 0, as a JSON object. */
  public String toJson() {
    return counts.entrySet().stream()
        .map(entry -> "\"" + entry.getKey().counterName() + "\":" + entry.getValue())
        .collect(Collectors.joining(",", "{", "}\n"));
  }
}
