package dillcross.config;

import dillcross.common.NumericAddress;
import dillcross.endpointlist.EndpointListParser;
import dillcross.endpointlist.MalformedEndpointListException;
import dillcross.sidecar.EndpointListUpdate;
import dillcross.sidecar.SidecarLimits;
import dillcross.sidecar.SidecarSettings;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The configuration of one sidecar, checked in all its parts.
 *
 * @param name of the sidecar; empty where it has none
 * @param listenAddress where clients connect
 * @param inheritsListeningSocket whether the process was handed that socket
 * @param discoveryAddress where the endpoint list is, as text
 * @param adminAddress of the admin endpoint; empty where there is none
 * @param knownEndpoints the endpoint list to start with; empty where there is none
 * @param seed of all that is drawn by chance
 * @param pollsDiscovery whether the endpoint list has to be polled; else it is pushed
 * @param settings that a running sidecar can take on
 * @param limits of the process
 * @param values that all of it was read from
 */
public record SidecarConfig(
    String name,
    InetSocketAddress listenAddress,
    boolean inheritsListeningSocket,
    String discoveryAddress,
    Optional<InetSocketAddress> adminAddress,
    Optional<EndpointListUpdate> knownEndpoints,
    long seed,
    boolean pollsDiscovery,
    SidecarSettings settings,
    SidecarLimits limits,
    ConfigValues values) {
  private static final String SETTINGS = "settings";
  private static final List<String> RESTART_ONLY =
      List.of("name", "listen", "admin_addr", "limits");

  /**
   * Reads and checks a configuration file; the environment stands in for keys that it leaves out.
   *
   * @throws InvalidConfigException for the first value that can't be used
   */
  public static SidecarConfig read(String file, Map<String, String> environment) {
    ConfigValues values = ConfigValues.fromFile(file, environment);
    InetSocketAddress listen = address("listen", values.require("listen"));
    address("discovery", values.require("discovery"));
    Optional<InetSocketAddress> admin =
        values.find("admin_addr").map(text -> address("admin_addr", text));
    Optional<EndpointListUpdate> known = knownEndpoints(values);
    ConfigValues settings = values.below(SETTINGS);
    long seed = ConfigReader.seed(values);
    SidecarSettings sidecarSettings = ConfigReader.sidecarSettings(settings);
    return new SidecarConfig(
        values.find("name").orElse(""),
        listen,
        values.has("fd"),
        values.require("discovery"),
        admin,
        known,
        seed,
        ConfigReader.pollsDiscovery(settings),
        sidecarSettings,
        ConfigReader.limits(values),
        values);
  }

  /** The address; throws {@link InvalidConfigException} where the text is none. */
  public static InetSocketAddress address(String key, String text) {
    return NumericAddress.parse(text)
        .orElseThrow(
            () -> new InvalidConfigException(key, "not a numeric address and port: " + text));
  }

  private static Optional<EndpointListUpdate> knownEndpoints(ConfigValues values) {
    Map<?, ?> json = values.below("known").tree();
    try {
      return json.isEmpty() ? Optional.empty() : Optional.of(EndpointListParser.fromJson(json));
    } catch (MalformedEndpointListException e) {
      throw new InvalidConfigException("known", e.getMessage());
    }
  }

  /** Throws {@link InvalidConfigException} where this may not take the place of {@code current}. */
  public void checkReplaces(SidecarConfig current) {
    ConfigReplacement.check(values, current.values);
  }

  /** Whether the settings, as they stand in the file, are those of {@code other}. */
  public boolean hasSameSettings(SidecarConfig other) {
    return values.isSame(other.values, SETTINGS);
  }

  /** Keys that differ from {@code current} and that only a restart takes on. */
  public List<String> restartOnlyChanges(SidecarConfig current) {
    return RESTART_ONLY.stream().filter(key -> !values.isSame(current.values, key)).toList();
  }
}
