package dillcross.emulator.simulation;

import dillcross.config.ConfigReader;
import dillcross.config.ConfigValues;
import dillcross.emulator.scenario.Scenario;
import dillcross.sidecar.SidecarLimits;
import dillcross.sidecar.SidecarSettings;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The configuration of a sidecar as the scenario defines it: written with the keys of the sidecar's
 * configuration file, and read by the sidecar's own code.
 */
final class SidecarSettingValues {
  private SidecarSettingValues() {}

  /** The settings of the sidecar with that index, in that zone. */
  static SidecarSettings settings(Scenario scenario, String zone, int index) {
    Map<String, String> values = new HashMap<>(scenario.sidecarSettings());
    List<Scenario.RequestClass> requestClasses = scenario.requestClasses();
    values.put("locality", zone);
    values.put("me", String.valueOf(index));
    values.put("balancers", String.valueOf(scenario.sidecars().count()));
    values.put("categories.count", String.valueOf(requestClasses.size()));
    for (int i = 0; i < requestClasses.size(); i++) {
      putRequestClass(values, "categories." + i + ".", requestClasses.get(i));
    }
    return ConfigReader.sidecarSettings(ConfigValues.ofPairs(values));
  }

  private static void putRequestClass(
      Map<String, String> values, String prefix, Scenario.RequestClass requestClass) {
    values.put(prefix + "name", requestClass.name());
    values.put(prefix + "effect", requestClass.effect());
    values.put(prefix + "key_scope", requestClass.scope());
    values.put(prefix + "window_ms", String.valueOf(requestClass.windowMs()));
    values.put(prefix + "target_latency_ms", String.valueOf(requestClass.targetMs()));
    values.put(prefix + "ttl_ms", String.valueOf(requestClass.timeoutMs()));
    values.put(prefix + "benefit", String.valueOf(requestClass.priorityWeight()));
  }

  /** The limits on descriptors, buffers and bodies of each sidecar. */
  static SidecarLimits limits(Scenario.SidecarGroup group) {
    ConfigValues memory =
        ConfigValues.ofPairs(Map.of("limits.memory_mb", String.valueOf(group.memoryMb())));
    SidecarLimits limits = ConfigReader.limits(memory);
    return new SidecarLimits(group.descriptors(), limits.maxBodyBytes(), limits.bufferBytes());
  }
}
