package dillcross.emulator.search;

import dillcross.emulator.random.RandomStream;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.simulation.FaultInjector;
import dillcross.emulator.simulation.Simulation;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Lists the trace events of one request, with the faults and process events of the same period. */
public final class Explain {
  /** A trace event; {@code fields} holds names and values in turn. */
  private record Event(long us, String what, Object[] fields) {
    /** The value of that field; null if the event has no such field. */
    Object field(String name) {
      for (int i = 0; i < fields.length; i += 2) {
        if (fields[i].equals(name)) {
          return fields[i + 1];
        }
      }
      return null;
    }
  }

  /** Faults and process events are listed from this time before the request's first event. */
  private static final long CONTEXT_US = 3_000_000;

  /** Names of the trace events that are listed although they belong to no request. */
  private static final Set<String> CONTEXT_EVENTS =
      Set.of(
          "trouble", "die", "vanish", "back", "drain", "join", "start", "term", "kill", "exit",
          "stall", "ready");

  /**
   * Output text of trace events, by their name; events without an entry appear under their name.
   */
  private static final Map<String, String> DESCRIPTIONS =
      Map.ofEntries(
          Map.entry("ask", "asked"),
          Map.entry("push", "a push has come"),
          Map.entry("begin", "is carried out"),
          Map.entry("reply", "its endpoint replies"),
          Map.entry("answer", "ANSWERED"),
          Map.entry("away", "turned away"),
          Map.entry("reset", "its connection is reset"),
          Map.entry("leave", "its client leaves"),
          Map.entry("cut", "its answer is cut"),
          Map.entry("nobody", "no sidecar was there to take it"),
          Map.entry("ended", "its sidecar's process ended"),
          Map.entry("expired", "too late at its endpoint"));

  private Explain() {}

  /**
   * Repeats the run and describes one request.
   *
   * @param request id of the request; null selects the first one that broke a rule
   * @return lines of text, with times relative to the request's first event; empty if there is no
   *     such request
   */
  public static List<String> of(Scenario scenario, long seed, String request) {
    List<Event> events = new ArrayList<>();
    Simulation.Result result =
        Simulation.run(
            scenario,
            seed,
            FaultInjector.draw(scenario, RandomStream.of(seed)),
            OutputStream.nullOutputStream(),
            (us, what, fields) -> events.add(new Event(us, what, fields)));
    String id =
        request != null
            ? request
            : result.violations().stream()
                .filter(v -> v.request() != null)
                .map(v -> v.request())
                .findFirst()
                .orElse(null);
    List<Event> own = events.stream().filter(e -> id != null && id.equals(e.field("op"))).toList();
    List<String> lines = new ArrayList<>();
    if (own.isEmpty()) {
      return lines;
    }
    long fromUs = own.get(0).us;
    long untilUs = own.get(own.size() - 1).us;
    lines.add(
        String.format(
            Locale.ROOT, "op %s, seed %d, from %.3f ms of the day on", id, seed, fromUs / 1000.0));
    for (Event e : events) {
      boolean isOwn = id.equals(e.field("op"));
      boolean isContext =
          CONTEXT_EVENTS.contains(e.what) && e.us >= fromUs - CONTEXT_US && e.us <= untilUs;
      if (isOwn || isContext) {
        lines.add(
            String.format(
                Locale.ROOT,
                "%+12.3f ms  %s%s%s",
                (e.us - fromUs) / 1000.0,
                isOwn ? "" : "        (",
                line(e),
                isOwn ? "" : ")"));
      }
    }
    result.violations().stream()
        .filter(v -> id.equals(v.request()))
        .forEach(v -> lines.add("broke: " + v.rule().description + ": " + v.details()));
    return lines;
  }

  private static String line(Event e) {
    StringBuilder line = new StringBuilder(DESCRIPTIONS.getOrDefault(e.what, e.what));
    for (int i = 0; i < e.fields.length; i += 2) {
      String name = (String) e.fields[i];
      if (!name.equals("op") && !name.equals("sent") && e.fields[i + 1] != null) {
        line.append(' ').append(name).append(' ').append(e.fields[i + 1]);
      }
    }
    return line.toString();
  }
}
