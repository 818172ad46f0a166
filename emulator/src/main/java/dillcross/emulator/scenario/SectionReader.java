package dillcross.emulator.scenario;

import java.util.LinkedHashMap;
import java.util.Map;

/** Reads the tables of a scenario file, except for the faults; one method per table. */
final class SectionReader {
  private SectionReader() {}

  static Scenario.SidecarGroup sidecars(TomlSection section) {
    Scenario.SidecarGroup sidecars =
        new Scenario.SidecarGroup(
            section.integer(ScenarioSettings.Sidecars.COUNT),
            section.textList(ScenarioSettings.Sidecars.ZONES),
            section.integer(ScenarioSettings.Sidecars.TURN_US),
            section.range(ScenarioSettings.Sidecars.START_MS),
            section.integer(ScenarioSettings.Sidecars.DESCRIPTORS),
            section.integer(ScenarioSettings.Sidecars.MEMORY_MB),
            section.integer(ScenarioSettings.Sidecars.CALLS));
    section.reportUnknownKeys();
    return sidecars;
  }

  static Scenario.RequestClass requestClass(TomlSection section) {
    Scenario.RequestClass requestClass =
        new Scenario.RequestClass(
            section.requiredText(ScenarioSettings.RequestClasses.NAME),
            section.choice(ScenarioSettings.RequestClasses.EFFECT),
            section.choice(ScenarioSettings.RequestClasses.KEY_SCOPE),
            section.decimal(ScenarioSettings.RequestClasses.WINDOW_MS),
            section.decimal(ScenarioSettings.RequestClasses.TARGET_LATENCY_MS),
            section.decimal(ScenarioSettings.RequestClasses.TTL_MS),
            section.decimal(ScenarioSettings.RequestClasses.BENEFIT),
            section.decimal(ScenarioSettings.RequestClasses.SHARE),
            section.decimal(ScenarioSettings.RequestClasses.WORK_MS),
            section.decimal(ScenarioSettings.RequestClasses.SPREAD),
            section.integer(ScenarioSettings.RequestClasses.BODY_BYTES),
            section.integer(ScenarioSettings.RequestClasses.ANSWER_BYTES));
    section.reportUnknownKeys();
    return requestClass;
  }

  static Scenario.ClientSettings clients(TomlSection section) {
    Scenario.ClientSettings clients =
        new Scenario.ClientSettings(
            section.decimal(ScenarioSettings.Clients.PER_S),
            section.choice(ScenarioSettings.Clients.RETRY),
            section.integer(ScenarioSettings.Clients.RETRIES),
            section.decimal(ScenarioSettings.Clients.LEAVE_SHARE),
            section.range(ScenarioSettings.Clients.LEAVE_MS),
            section.decimal(ScenarioSettings.Clients.PIECES_SHARE),
            section.decimal(ScenarioSettings.Clients.CLOSE_SHARE),
            section.integer(ScenarioSettings.Clients.RESTING),
            section.decimal(ScenarioSettings.Clients.PATIENCE_MS));
    section.reportUnknownKeys();
    return clients;
  }

  static Scenario.EndpointSettings endpoints(TomlSection section) {
    Scenario.EndpointSettings endpoints =
        new Scenario.EndpointSettings(
            section.integer(ScenarioSettings.Endpoints.COUNT),
            section.textList(ScenarioSettings.Endpoints.ZONES),
            section.integer(ScenarioSettings.Endpoints.CELLS),
            section.decimal(ScenarioSettings.Endpoints.CORES),
            section.integer(ScenarioSettings.Endpoints.QUEUE),
            section.integer(ScenarioSettings.Endpoints.CONNECTIONS),
            section.decimal(ScenarioSettings.Endpoints.IDLE_CLOSE_MS),
            section.decimal(ScenarioSettings.Endpoints.CHOKE_ABOVE),
            section.decimal(ScenarioSettings.Endpoints.CHOKE),
            section.range(ScenarioSettings.Endpoints.SPEED),
            section.decimal(ScenarioSettings.Endpoints.GRACE_MS),
            section.decimal(ScenarioSettings.Endpoints.REPORT_SHARE),
            section.flag(ScenarioSettings.Endpoints.CHUNKS));
    section.reportUnknownKeys();
    return endpoints;
  }

  static Scenario.DiscoverySettings discovery(TomlSection section) {
    Scenario.DiscoverySettings discovery =
        new Scenario.DiscoverySettings(
            section.range(ScenarioSettings.Discovery.DELAY_MS),
            section.decimal(ScenarioSettings.Discovery.TELL_MS));
    section.reportUnknownKeys();
    return discovery;
  }

  static Scenario.NetworkSettings network(TomlSection section) {
    Scenario.NetworkSettings network =
        new Scenario.NetworkSettings(
            section.decimal(ScenarioSettings.Network.NEAR_US),
            section.decimal(ScenarioSettings.Network.FAR_US),
            section.decimal(ScenarioSettings.Network.JITTER_US));
    section.reportUnknownKeys();
    return network;
  }

  static Scenario.Rules oracleRules(TomlSection section) {
    Scenario.Rules rules =
        new Scenario.Rules(
            section.decimal(ScenarioSettings.OracleRules.ANSWER_SLACK_MS),
            section.decimal(ScenarioSettings.OracleRules.DRAIN_SLACK_MS),
            section.decimal(ScenarioSettings.OracleRules.COLD_SLACK));
    section.reportUnknownKeys();
    return rules;
  }

  /** Values of the sidecars' configuration by their paths, except for the request classes. */
  static Map<String, String> sidecarConfiguration(TomlSection section) {
    Map<String, String> values = new LinkedHashMap<>();
    putLimits(values, section);
    putBalancerRules(values, section);
    section.reportUnknownKeys();
    return values;
  }

  private static void putLimits(Map<String, String> values, TomlSection section) {
    values.put(
        "limits.max_pushes",
        String.valueOf(section.integer(ScenarioSettings.SidecarConfiguration.MAX_PUSHES)));
    values.put(
        "limits.may_duplicate",
        String.valueOf(section.flag(ScenarioSettings.SidecarConfiguration.MAY_DUPLICATE)));
    values.put(
        "limits.cancel",
        String.valueOf(section.flag(ScenarioSettings.SidecarConfiguration.CANCEL)));
    values.put(
        "limits.retry_after",
        String.valueOf(section.flag(ScenarioSettings.SidecarConfiguration.RETRY_AFTER)));
    values.put(
        "limits.max_retry_after_ms",
        String.valueOf(section.decimal(ScenarioSettings.SidecarConfiguration.MAX_RETRY_AFTER_MS)));
    values.put(
        "limits.connect_timeout_ms",
        String.valueOf(section.decimal(ScenarioSettings.SidecarConfiguration.CONNECT_TIMEOUT_MS)));
    values.put(
        "limits.keepalive_ms",
        String.valueOf(section.decimal(ScenarioSettings.SidecarConfiguration.KEEPALIVE_MS)));
  }

  private static void putBalancerRules(Map<String, String> values, TomlSection section) {
    values.put(
        "rules.ask_within_ms",
        String.valueOf(section.decimal(ScenarioSettings.SidecarConfiguration.ASK_WITHIN_MS)));
    values.put(
        "rules.start_capacity",
        String.valueOf(section.decimal(ScenarioSettings.SidecarConfiguration.START_CAPACITY)));
    values.put(
        "rules.warm_up_ms",
        String.valueOf(section.decimal(ScenarioSettings.SidecarConfiguration.WARM_UP_MS)));
    values.put(
        "rules.fall_multiple",
        String.valueOf(section.decimal(ScenarioSettings.SidecarConfiguration.FALL_MULTIPLE)));
    values.put(
        "rules.fall_ms",
        String.valueOf(section.decimal(ScenarioSettings.SidecarConfiguration.FALL_MS)));
    values.put(
        "prices.cross_zone",
        String.valueOf(section.decimal(ScenarioSettings.SidecarConfiguration.CROSS_ZONE)));
  }
}
