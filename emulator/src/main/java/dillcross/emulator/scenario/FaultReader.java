package dillcross.emulator.scenario;

import dillcross.emulator.scenario.Setting.TextSetting;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Reads the faults of a scenario and checks their targets and identifiers. */
final class FaultReader {
  private static final String ID_KEY = "id";
  private static final List<String> KIND_WORDS =
      Arrays.stream(Fault.Kind.values()).map(Fault.Kind::word).toList();

  private final Scenario.SidecarGroup sidecars;
  private final Scenario.EndpointSettings endpoints;
  private final Set<String> ids = new HashSet<>();

  FaultReader(Scenario.SidecarGroup sidecars, Scenario.EndpointSettings endpoints) {
    this.sidecars = sidecars;
    this.endpoints = endpoints;
  }

  Fault read(TomlSection section) {
    String word = section.requiredText(ScenarioSettings.Faults.KIND);
    Fault.Kind kind = kind(word);
    if (kind == null && word != null) {
      String key = ScenarioSettings.Faults.KIND.key();
      section.addError(key, ScenarioMessages.unknownChoice(word, KIND_WORDS));
    }
    String id = readId(section, word);
    String target = readTarget(section, kind);
    Fault fault =
        new Fault(
            id,
            kind,
            section.range(ScenarioSettings.Faults.AT_MS),
            section.range(ScenarioSettings.Faults.FOR_MS),
            target,
            section.range(ScenarioSettings.Faults.FACTOR),
            section.decimal(ScenarioSettings.Faults.SHARE),
            section.choice(ScenarioSettings.Faults.MODE),
            section.integer(ScenarioSettings.Faults.COUNT));
    section.reportUnknownKeys();
    return fault;
  }

  private static Fault.Kind kind(String word) {
    return Arrays.stream(Fault.Kind.values())
        .filter(kind -> kind.word().equals(word))
        .findFirst()
        .orElse(null);
  }

  private String readId(TomlSection section, String kindWord) {
    String id = section.text(new TextSetting(ID_KEY, defaultId(kindWord)));
    boolean isNew = ids.add(id);
    if (!isNew) {
      section.addError(ID_KEY, "duplicate id: " + id);
    }
    return id;
  }

  /**
   * Returns the identifier of a fault for which the file gives none: its kind and a number. Each
   * kind is numbered separately, because random draws depend on the identifier and must not change
   * when a fault of another kind is added or removed.
   */
  private String defaultId(String kindWord) {
    int number = 1;
    while (ids.contains(kindWord + "-" + number)) {
      number++;
    }
    return kindWord + "-" + number;
  }

  private String readTarget(TomlSection section, Fault.Kind kind) {
    String target = section.text(ScenarioSettings.Faults.TARGET);
    if (!validTargets(kind).contains(target)) {
      String message = "unknown target for this kind of fault: " + target;
      section.addError(ScenarioSettings.Faults.TARGET.key(), message);
    }
    return target;
  }

  /**
   * The targets that a kind accepts; an unknown kind, given as null, accepts only {@code any} and
   * {@code all}.
   */
  private Set<String> validTargets(Fault.Kind kind) {
    Set<String> targets = new HashSet<>(Set.of("any", "all"));
    if (kind == null) {
      return targets;
    }
    switch (kind.targetType()) {
      case ENDPOINT -> {
        addNumbered(targets, "e", endpoints.count());
        endpoints.zones().forEach(zone -> targets.add("zone " + zone));
      }
      case SIDECAR, CLIENTS -> addNumbered(targets, "s", sidecars.count());
      case ZONE -> {
        targets.addAll(sidecars.zones());
        targets.addAll(endpoints.zones());
      }
      case ENDPOINTS, LIST, NETWORK -> {
        // These have no individual targets.
      }
    }
    return targets;
  }

  private static void addNumbered(Set<String> targets, String prefix, int count) {
    for (int i = 0; i < count; i++) {
      targets.add(prefix + i);
    }
  }
}
