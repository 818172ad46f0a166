package dillcross.emulator.search;

import dillcross.emulator.random.RandomStream;
import dillcross.emulator.scenario.Fault;
import dillcross.emulator.scenario.Fault.Drawn;
import dillcross.emulator.scenario.Fault.Kind;
import dillcross.emulator.scenario.Range;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.simulation.Simulation;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Events that cross: each ordered pair of what a world can bring, at a moment of one request's life
 * and aimed at what that request touches, in the same microsecond, one turn apart, and at the first
 * one's end. Triples are drawn.
 */
public final class Crossings {
  private static final long WARM_US =
      1_000_000; // of a day, before the first arrival, from which troubles are timed
  private static final long LASTS_US = 300_000;
  private static final List<String> MOMENTS = List.of("ask", "push", "begin", "reply", "answer");

  /** One kind of event; the mode is null where it has none. */
  public record Event(Kind kind, String mode) {
    public String word() {
      return kind.word() + (mode == null ? "" : "-" + mode);
    }
  }

  /** When the second of a pair comes. */
  public enum Apart {
    SAME,
    TURN,
    END,
    AFTER_END
  }

  /** One day to be played: its name says what crosses, where and how. */
  public record Case(String name, long seed, List<Drawn> faults) {}

  /** Something that happened to a request on the day on which nothing goes wrong. */
  private record Moment(long atUs, String endpoint, String sidecar) {}

  private final Scenario scenario;
  private final long seed;
  private final Map<String, List<Moment>> moments = new LinkedHashMap<>();
  private int made;

  /** Over a scenario without troubles, played with that seed. */
  public Crossings(Scenario scenario, long seed) {
    this.scenario = scenario;
    this.seed = seed;
    Map<String, String> endpoints =
        new LinkedHashMap<>(); // by request, where its first attempt went
    MOMENTS.forEach(m -> moments.put(m, new ArrayList<>()));
    List<Object[]> events = new ArrayList<>();
    Simulation.run(
        scenario,
        seed,
        List.of(),
        OutputStream.nullOutputStream(),
        (us, what, pairs) -> {
          if (moments.containsKey(what)) {
            String request = word(pairs, "op");
            String to = what.equals("push") ? word(pairs, "to") : word(pairs, "at");
            if (request != null && to != null && to.startsWith("e")) {
              endpoints.putIfAbsent(request, to);
            }
            events.add(new Object[] {us - WARM_US, what, request});
          }
        });
    double end = scenario.seconds() * 1e6;
    for (Object[] event : events) {
      long atUs = (Long) event[0];
      String request = (String) event[2];
      if (request != null
          && endpoints.containsKey(request)
          && atUs > end / 4
          && atUs < end * 3 / 4) {
        moments
            .get((String) event[1])
            .add(
                new Moment(
                    atUs, endpoints.get(request), request.substring(0, request.indexOf('-'))));
      }
    }
  }

  private static String word(Object[] pairs, String key) {
    for (int i = 0; i + 1 < pairs.length; i += 2) {
      if (key.equals(pairs[i])) {
        return String.valueOf(pairs[i + 1]);
      }
    }
    return null;
  }

  /** All kinds of event. */
  public static List<Event> events() {
    List<Event> all = new ArrayList<>();
    for (Kind kind : Kind.values()) {
      List<String> modes =
          switch (kind) {
            case RESETS -> List.of("before", "after", "answer");
            case LIST_OUT -> List.of("refuse", "silent", "error");
            default -> java.util.Collections.singletonList(null);
          };
      modes.forEach(mode -> all.add(new Event(kind, mode)));
    }
    return all;
  }

  /** Every ordered pair of these; each at all moments and distances, or at one of them by turns. */
  public List<Case> pairs(List<Event> first, List<Event> second, boolean all) {
    List<Case> cases = new ArrayList<>();
    int turn = 0;
    for (Event one : first) {
      for (Event other : second) {
        for (int i = 0; i < (all ? MOMENTS.size() * Apart.values().length : 1); i++) {
          int at = all ? i : turn++;
          Apart apart = Apart.values()[at % Apart.values().length];
          String moment = MOMENTS.get(at / Apart.values().length % MOMENTS.size());
          cases.add(crossing(moment, List.of(one, other), List.of(apart)));
        }
      }
    }
    return cases;
  }

  /** A triple drawn by that number. */
  public Case triple(long number) {
    RandomStream random = RandomStream.of(number).named("triple");
    List<Event> events = events();
    List<Event> three = List.of(random.oneOf(events), random.oneOf(events), random.oneOf(events));
    List<Apart> aparts =
        List.of(random.oneOf(List.of(Apart.values())), random.oneOf(List.of(Apart.values())));
    return crossing(random.oneOf(MOMENTS), three, aparts);
  }

  private Case crossing(String moment, List<Event> events, List<Apart> aparts) {
    List<Moment> known = moments.get(moment);
    Moment at = known.get((int) (made++ * 7919L % known.size()));
    List<Drawn> faults = new ArrayList<>();
    StringBuilder name = new StringBuilder(scenario.name() + " " + moment);
    long atUs = at.atUs;
    for (int i = 0; i < events.size(); i++) {
      if (i > 0) {
        long turnUs = scenario.sidecars().iterationUs();
        atUs +=
            switch (aparts.get(i - 1)) {
              case SAME -> 0;
              case TURN -> turnUs;
              case END -> LASTS_US;
              case AFTER_END -> LASTS_US + turnUs;
            };
        name.append(' ').append(aparts.get(i - 1).name().toLowerCase(java.util.Locale.ROOT));
      }
      faults.add(drawn(events.get(i), i, at, atUs));
      name.append(' ').append(events.get(i).word());
    }
    return new Case(name.toString(), seed, faults);
  }

  private Drawn drawn(Event event, int number, Moment at, long atUs) {
    List<String> zones = scenario.endpoints().zones();
    String target =
        switch (event.kind.targetType()) {
          case ENDPOINT -> at.endpoint;
          case SIDECAR, CLIENTS -> at.sidecar;
          case ZONE -> zones.get(Integer.parseInt(at.endpoint.substring(1)) % zones.size());
          default -> "all";
        };
    double factor =
        switch (event.kind) {
          case SLOW -> 10;
          case NARROW -> 1;
          case LIST_SLOW -> 300;
          case LAG -> 40;
          case PIECES -> 150;
          default -> 3;
        };
    String mode = event.mode == null ? "after" : event.mode;
    Fault from =
        new Fault(
            "c" + number + "-" + event.word(),
            event.kind,
            Range.of(atUs / 1000.0),
            Range.of(LASTS_US / 1000.0),
            target,
            Range.of(factor),
            0.8,
            mode,
            1);
    return new Drawn(from, atUs, LASTS_US, target, factor);
  }

  /** Plays it. */
  public Simulation.Result play(Case of) {
    return Simulation.run(scenario, of.seed, of.faults, OutputStream.nullOutputStream(), null);
  }
}
