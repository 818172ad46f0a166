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

/** The story of one request: what became of it, and what went wrong round it meanwhile. */
public final class Explain {
  private record Event(long us, String what, Object[] pairs) {
    Object figure(String name) {
      for (int i = 0; i < pairs.length; i += 2) {
        if (pairs[i].equals(name)) {
          return pairs[i + 1];
        }
      }
      return null;
    }
  }

  private static final long ROUND_US = 3_000_000; // how long before it troubles are told of
  private static final Set<String> ABOUT_ALL =
      Set.of(
          "trouble", "die", "vanish", "back", "drain", "join", "start", "term", "kill", "exit",
          "stall", "ready");
  private static final Map<String, String> WORDS =
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
   * Lines; empty where the day had no such request. Without a request's id the ids of the first
   * requests that broke a rule are told.
   */
  public static List<String> of(Scenario scenario, long seed, String request) {
    List<Event> events = new ArrayList<>();
    Simulation.Result day =
        Simulation.run(
            scenario,
            seed,
            FaultInjector.draw(scenario, RandomStream.of(seed)),
            OutputStream.nullOutputStream(),
            (us, what, pairs) -> events.add(new Event(us, what, pairs)));
    String id =
        request != null
            ? request
            : day.violations().stream()
                .filter(v -> v.request() != null)
                .map(v -> v.request())
                .findFirst()
                .orElse(null);
    List<Event> own = events.stream().filter(e -> id != null && id.equals(e.figure("op"))).toList();
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
      boolean about = id.equals(e.figure("op"));
      boolean round = ABOUT_ALL.contains(e.what) && e.us >= fromUs - ROUND_US && e.us <= untilUs;
      if (about || round) {
        lines.add(
            String.format(
                Locale.ROOT,
                "%+12.3f ms  %s%s%s",
                (e.us - fromUs) / 1000.0,
                about ? "" : "        (",
                line(e),
                about ? "" : ")"));
      }
    }
    day.violations().stream()
        .filter(v -> id.equals(v.request()))
        .forEach(v -> lines.add("broke: " + v.rule().words + ": " + v.what()));
    return lines;
  }

  private static String line(Event e) {
    StringBuilder line = new StringBuilder(WORDS.getOrDefault(e.what, e.what));
    for (int i = 0; i < e.pairs.length; i += 2) {
      String name = (String) e.pairs[i];
      if (!name.equals("op") && !name.equals("sent") && e.pairs[i + 1] != null) {
        line.append(' ').append(name).append(' ').append(e.pairs[i + 1]);
      }
    }
    return line.toString();
  }
}
