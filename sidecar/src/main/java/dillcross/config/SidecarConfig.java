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
 * The complete and valid configuration of one sidecar.
 *
 * @param name the sidecar's name; empty where it has none
 * @param listenAddress where clients connect
 * @param inheritsListeningSocket whether the process inherits the socket of that address as
 *     descriptor 0
 * @param discoveryAddress numeric address and port of the discovery service, as text
 * @param adminAddress the address of the admin endpoint; empty where there is none
 * @param knownEndpoints the endpoint list to start with; empty where there is none
 * @param seed the seed of all random choices
 * @param pollsDiscovery whether the sidecar has to poll the endpoint list; otherwise it is pushed
 * @param settings the settings that a reload can change
 * @param limits the limits of the process, which only a restart changes
 * @param values the values, as text, that the configuration was read from
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
  private static final List<String> RESTART_ONLY =
      List.of(
          ConfigKeys.NAME, ConfigKeys.LISTEN_ADDRESS, ConfigKeys.ADMIN_ADDRESS, ConfigKeys.LIMITS);

  /**
   * Reads and checks a configuration file; the environment supplies keys that the file leaves out.
   *
   * @throws InvalidConfigException for the first value that is missing or invalid
   */
  public static SidecarConfig read(String file, Map<String, String> environment) {
    ConfigValues values = ConfigValues.fromFile(file, environment);
    InetSocketAddress listen =
        address(ConfigKeys.LISTEN_ADDRESS, values.require(ConfigKeys.LISTEN_ADDRESS));
    String discovery = values.require(ConfigKeys.DISCOVERY_ADDRESS);
    address(ConfigKeys.DISCOVERY_ADDRESS, discovery);
    Optional<InetSocketAddress> admin =
        values.find(ConfigKeys.ADMIN_ADDRESS).map(text -> address(ConfigKeys.ADMIN_ADDRESS, text));
    Optional<EndpointListUpdate> known = knownEndpoints(values);
    ConfigValues settings = values.section(ConfigKeys.SETTINGS);
    long seed = ConfigReader.seed(values);
    SidecarSettings sidecarSettings = ConfigReader.sidecarSettings(settings);
    return new SidecarConfig(
        values.find(ConfigKeys.NAME).orElse(""),
        listen,
        values.has(ConfigKeys.INHERITED_SOCKET),
        discovery,
        admin,
        known,
        seed,
        ConfigReader.pollsDiscovery(settings),
        sidecarSettings,
        ConfigReader.limits(values),
        values);
  }

  /**
   * The numeric address and port in {@code text}.
   *
   * @throws InvalidConfigException if the text holds none; the error names {@code key}
   */
  public static InetSocketAddress address(String key, String text) {
    return NumericAddress.parse(text)
        .orElseThrow(
            () -> new InvalidConfigException(key, "not a numeric address and port: " + text));
  }

  private static Optional<EndpointListUpdate> knownEndpoints(ConfigValues values) {
    Map<?, ?> json = values.section(ConfigKeys.KNOWN_ENDPOINTS).json();
    try {
      return json.isEmpty() ? Optional.empty() : Optional.of(EndpointListParser.fromJson(json));
    } catch (MalformedEndpointListException e) {
      throw new InvalidConfigException(ConfigKeys.KNOWN_ENDPOINTS, e.getMessage());
    }
  }

  /**
   * Checks that a reload may replace {@code current} by this configuration.
   *
   * @throws InvalidConfigException for the first key that this configuration may not leave out
   */
  public void checkReplaces(SidecarConfig current) {
    ConfigReplacement.check(values, current.values);
  }

  /** Whether the settings of both configurations are equal, value by value. */
  public boolean hasSameSettings(SidecarConfig other) {
    return values.isSame(other.values, ConfigKeys.SETTINGS);
  }

  /**
   * The keys whose values differ from those of {@code current} and take effect at a restart only.
   */
  public List<String> restartOnlyChanges(SidecarConfig current) {
    return RESTART_ONLY.stream().filter(key -> !values.isSame(current.values, key)).toList();
  }
}
