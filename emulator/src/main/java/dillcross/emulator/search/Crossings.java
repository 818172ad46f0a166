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
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Generates combinations of two or three faults on one scenario: all ordered pairs of fault
 * variants, and random triples. The first fault starts at a stage of a request's life, and faults
 * on an endpoint or sidecar hit the one that handles this request. Each further fault starts
 * together with the one before, one event loop iteration later, or when that one ends.
 */
public final class Crossings {
  /** Time in µs from the start of a run to its first arrival, from which fault times count. */
  private static final long WARM_UP_US = 1_000_000;

  private static final long FAULT_DURATION_US = 300_000;

  /**
   * Trace events at which the first fault can start: a client sends a request, an attempt reaches
   * an endpoint, the endpoint starts to execute it, the endpoint responds, the client has its
   * answer.
   */
  private static final List<String> STAGES = List.of("ask", "push", "begin", "reply", "answer");

  /** A fault kind with one of its modes; the mode is null for a kind without modes. */
  public record Variant(Kind kind, String mode) {
    /** The name on the command line and in reports, for example {@code resets-before}. */
    public String word() {
      return kind.word() + (mode == null ? "" : "-" + mode);
    }
  }

  /** The start of a fault relative to the fault before it. */
  private enum Offset {
    /** Both faults start at the same time. */
    SAME,
    /** The later fault starts one event loop iteration after the earlier one. */
    TURN,
    /** The later fault starts when the earlier one ends. */
    END,
    /** The later fault starts one event loop iteration after the earlier one has ended. */
    AFTER_END
  }

  /** A combination to run: its name lists the scenario, the stage, the faults and their offsets. */
  public record Case(String name, long seed, List<Drawn> faults) {}

  /** A trace event, its time in µs after the first arrival, and the id of its request or null. */
  private record StageEvent(long atUs, String stage, String request) {}

  /** A stage of a request in the run without faults, and the peers that handled the request. */
  private record Moment(long atUs, String endpoint, String sidecar) {}

  private final Scenario scenario;
  private final long seed;
  private final Map<String, List<Moment>> momentsByStage = new LinkedHashMap<>();
  private int createdCases;

  /**
   * Runs the scenario once without faults, to find the times at which requests reach each stage.
   *
   * @param scenario a scenario without faults
   * @param seed seed of that run and of all combinations
   */
  public Crossings(Scenario scenario, long seed) {
    this.scenario = scenario;
    this.seed = seed;
    Map<String, String> firstEndpoints = new LinkedHashMap<>(); // by request id
    STAGES.forEach(stage -> momentsByStage.put(stage, new ArrayList<>()));
    List<StageEvent> events = new ArrayList<>();
    Simulation.run(
        scenario,
        seed,
        List.of(),
        OutputStream.nullOutputStream(),
        (us, what, fields) -> {
          if (momentsByStage.containsKey(what)) {
            String request = field(fields, "op");
            String receiver = what.equals("push") ? field(fields, "to") : field(fields, "at");
            if (request != null && receiver != null && receiver.startsWith("e")) {
              firstEndpoints.putIfAbsent(request, receiver);
            }
            events.add(new StageEvent(us - WARM_UP_US, what, request));
          }
        });
    double endUs = scenario.seconds() * 1e6;
    for (StageEvent event : events) {
      String request = event.request;
      if (request != null
          && firstEndpoints.containsKey(request)
          && event.atUs > endUs / 4
          && event.atUs < endUs * 3 / 4) {
        String sidecar = request.substring(0, request.indexOf('-'));
        momentsByStage
            .get(event.stage)
            .add(new Moment(event.atUs, firstEndpoints.get(request), sidecar));
      }
    }
  }

  /** The value of a trace field as text; null if the event has no such field. */
  private static String field(Object[] namesAndValues, String name) {
    for (int i = 0; i + 1 < namesAndValues.length; i += 2) {
      if (name.equals(namesAndValues[i])) {
        return String.valueOf(namesAndValues[i + 1]);
      }
    }
    return null;
  }

  /** All fault kinds, each in all of its modes. */
  public static List<Variant> variants() {
    List<Variant> all = new ArrayList<>();
    for (Kind kind : Kind.values()) {
      List<String> modes =
          switch (kind) {
            case RESETS -> List.of("before", "after", "answer");
            case LIST_OUT -> List.of("refuse", "silent", "error");
            default -> Collections.singletonList(null);
          };
      modes.forEach(mode -> all.add(new Variant(kind, mode)));
    }
    return all;
  }

  /**
   * Every pair of a variant of {@code first} followed by one of {@code second}.
   *
   * @param all true for a case per stage and offset of each pair; false for one case per pair,
   *     which takes the next stage and offset in rotation
   */
  public List<Case> pairs(List<Variant> first, List<Variant> second, boolean all) {
    List<Case> cases = new ArrayList<>();
    int rotation = 0;
    for (Variant one : first) {
      for (Variant other : second) {
        for (int i = 0; i < (all ? STAGES.size() * Offset.values().length : 1); i++) {
          int index = all ? i : rotation++;
          Offset offset = Offset.values()[index % Offset.values().length];
          String stage = STAGES.get(index / Offset.values().length % STAGES.size());
          cases.add(newCase(stage, List.of(one, other), List.of(offset)));
        }
      }
    }
    return cases;
  }

  /** Three random variants at a random stage; the same number always selects the same ones. */
  public Case triple(long number) {
    RandomStream random = RandomStream.of(number).named("triple");
    List<Variant> variants = variants();
    List<Variant> three =
        List.of(random.oneOf(variants), random.oneOf(variants), random.oneOf(variants));
    List<Offset> offsets =
        List.of(random.oneOf(List.of(Offset.values())), random.oneOf(List.of(Offset.values())));
    return newCase(random.oneOf(STAGES), three, offsets);
  }

  private Case newCase(String stage, List<Variant> variants, List<Offset> offsets) {
    List<Moment> moments = momentsByStage.get(stage);
    // The stride spreads successive cases over the moments of the run.
    Moment moment = moments.get((int) (createdCases++ * 7919L % moments.size()));
    List<Drawn> faults = new ArrayList<>();
    StringBuilder name = new StringBuilder(scenario.name() + " " + stage);
    long startUs = moment.atUs;
    for (int i = 0; i < variants.size(); i++) {
      if (i > 0) {
        long iterationUs = scenario.sidecars().iterationUs();
        startUs +=
            switch (offsets.get(i - 1)) {
              case SAME -> 0;
              case TURN -> iterationUs;
              case END -> FAULT_DURATION_US;
              case AFTER_END -> FAULT_DURATION_US + iterationUs;
            };
        name.append(' ').append(offsets.get(i - 1).name().toLowerCase(Locale.ROOT));
      }
      faults.add(fault(variants.get(i), i, moment, startUs));
      name.append(' ').append(variants.get(i).word());
    }
    return new Case(name.toString(), seed, faults);
  }

  private Drawn fault(Variant variant, int index, Moment moment, long startUs) {
    List<String> zones = scenario.endpoints().zones();
    String target =
        switch (variant.kind.targetType()) {
          case ENDPOINT -> moment.endpoint;
          case SIDECAR, CLIENTS -> moment.sidecar;
          case ZONE -> zones.get(Integer.parseInt(moment.endpoint.substring(1)) % zones.size());
          default -> "all";
        };
    double factor =
        switch (variant.kind) {
          case SLOW -> 10;
          case NARROW -> 1;
          case LIST_SLOW -> 300;
          case LAG -> 40;
          case PIECES -> 150;
          default -> 3;
        };
    String mode = variant.mode == null ? "after" : variant.mode;
    Fault fault =
        new Fault(
            "c" + index + "-" + variant.word(),
            variant.kind,
            Range.of(startUs / 1000.0),
            Range.of(FAULT_DURATION_US / 1000.0),
            target,
            Range.of(factor),
            0.8,
            mode,
            1);
    return new Drawn(fault, startUs, FAULT_DURATION_US, target, factor);
  }

  /** Runs the scenario with the faults of the case; may be called by several threads at once. */
  public Simulation.Result run(Case crossing) {
    return Simulation.run(
        scenario, crossing.seed, crossing.faults, OutputStream.nullOutputStream(), null);
  }
}
