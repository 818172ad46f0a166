package dillcross.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests reading and replacing configurations: precedence, and errors that name the key. */
class ConfigReaderTest {
  @TempDir private Path folder;

  private ConfigValues values(String json) throws IOException {
    return ConfigValues.fromFile(
        Files.writeString(folder.resolve("c.json"), json).toString(),
        Map.of("NODE_LISTEN", "from-env", "NODE_NAME", "x"));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '!',
      value = {
        "{\"settings\":{\"categories\":[{\"name\":\"a\"}],\"rules\":{\"fall_ms\":\"soon\"}}}!settings.rules.fall_ms",
        "{\"settings\":{\"categories\":[{\"name\":\"a\",\"target_latency_ms\":[]}]}}!settings.categories.0.target_latency_ms",
        "{\"settings\":{\"categories\":[{\"effect\":\"idempotent\"}]}}!settings.categories.0.name",
        "{\"settings\":{\"categories\":[{\"name\":\"a\"},{\"name\":\"a\"}]}}!settings.categories.1.name",
        "{\"settings\":{\"categories\":[]}}!settings.categories",
        "{\"settings\":{\"categories\":[{\"name\":\"a\"}],\"limits\":{\"cancel\":\"maybe\"}}}!settings.limits.cancel",
        "{\"settings\":{\"categories\":[{\"name\":\"a\"}],\"limits\":{\"connect_timeout_ms\":-5}}}!settings.limits.connect_timeout_ms",
        "{\"settings\":{\"categories\":[{\"name\":\"a\",\"effect\":\"sometimes\"}]}}!settings.categories.0.effect",
        "{\"settings\":{\"categories\":[{\"name\":\"a\",\"key_scope\":\"rack\"}]}}!settings.categories.0.key_scope",
        "{\"settings\":{\"categories\":[{\"name\":\"a\"}],\"weight_source\":\"lively\"}}!settings.weight_source",
        "{\"settings\":{\"categories\":[{\"name\":\"a\"}],\"weight_source\":{\"is\":1}}}!settings.weight_source",
        "{\"settings\":{\"categories\":[{\"name\":\"a\"}],\"discovery\":\"push\"}}!settings.discovery",
        "{\"settings\":{\"categories\":[{\"name\":\"a\"}],\"benefit_basis\":\"time\"}}!settings.benefit_basis",
        "{\"settings\":{\"categories\":[{\"name\":\"a\"}],\"balancers\":0}}!settings.balancers",
        "{\"settings\":{\"categories\":[{\"name\":\"a\"}],\"goal\":{\"tail_slack\":1.5}}}!settings.goal.tail_slack",
        "{\"settings\":{\"categories\":[{\"name\":\"a\"}],\"goal\":{\"punctual\":\"very\"}}}!settings.goal.punctual",
        "{\"settings\":{\"categories\":[{\"name\":\"a\"}],\"rules\":{\"dropped_stay_open\":\"often\"}}}!settings.rules.dropped_stay_open",
        "{\"settings\":{\"categories\":[{\"name\":\"a\",\"overdue_benefit\":-1}]}}!settings.categories.0.overdue_benefit",
        "{\"settings\":{\"categories\":[{\"name\":\"a\"}],\"me\":1.5}}!settings.me",
        "{\"settings\":{\"categories\":[{\"name\":\"a\"}],\"limits\":7}}!settings.limits",
        "{\"settings\":{\"categories\":[{\"name\":\"a\"}],\"limits\":{\"max_pushes\":0}}}!settings.limits.max_pushes",
        "{\"settings\":{\"categories\":[{\"name\":\"a\"}],\"rules\":{\"start_capacity\":1.2}}}!settings.rules.start_capacity",
        "{\"settings\":{\"categories\":[{\"name\":\"a\"}],\"tenants\":[{\"quota_per_s\":5}]}}!settings.tenants.0.name",
        "{\"seed\":\"xyz\"}!seed",
        "{\"limits\":{\"sockets\":3}}!limits.sockets",
        "{!c.json"
      })
  void errorNamesKeyOfInvalidValue(String json, String key) {
    InvalidConfigException error =
        assertThrows(
            InvalidConfigException.class,
            () -> {
              ConfigValues values = values(json);
              ConfigReader.seed(values);
              ConfigReader.limits(values);
              ConfigValues settings = values.section("settings");
              ConfigReader.balancerSettings(settings, ConfigReader.pollsDiscovery(settings));
              ConfigReader.sidecarSettings(settings);
            });
    assertTrue(
        error.getMessage().startsWith(key) || error.getMessage().contains(key + ":"),
        error.getMessage());
  }

  /**
   * Each row replaces {@code oldText} in a valid configuration by {@code newText}, and has the
   * start of the error that refuses the reload; null where the reload is accepted.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '!',
      value = {
        "'{'!'{'!",
        "b1!b2!",
        "\"a\"!\"other\"!",
        "\"max_pushes\":3!\"max_pushes\":1!",
        "idempotent!at_most_once!",
        "\"ttl_ms\":900!\"ttl_ms\":90000!",
        "{\"name\":\"a\"!{\"name\":\"z\",\"effect\":\"idempotent\",\"target_latency_ms\":1,\"ttl_ms\":2,\"benefit\":1},{\"name\":\"a\"!",
        "\"ttl_ms\":900!\"x\":1!settings.categories.0.ttl_ms: is missing",
        "\"ttl_ms\":900!\"ttl_ms\":0!settings.categories.0.ttl_ms: has to be above 0",
        "\"ttl_ms\":900!\"ttl_ms\":-3!settings.categories.0.ttl_ms: out of range",
        "\"ttl_ms\":900!\"ttl_ms\":\"NaN\"!settings.categories.0.ttl_ms: out of range",
        "\"ttl_ms\":900!\"ttl_ms\":null!settings.categories.0.ttl_ms: is missing",
        "\"target_latency_ms\":300!\"target_latency_ms\":0!settings.categories.0.target_latency_ms: has to be above 0",
        "\"effect\":\"idempotent\"!\"x\":1!settings.categories.0.effect: is missing",
        "\"effect\":\"idempotent\"!\"effect\":\"deduplicated\"!settings.categories.0.key_scope: is missing",
        "\"benefit\":1!\"x\":1!settings.categories.0.benefit: is missing",
        "\"max_pushes\":3!\"x\":1!settings.limits.max_pushes: is missing",
        "\"max_pushes\":3!\"max_pushes\":0!settings.limits.max_pushes: out of range",
        "\"max_pushes\":3!\"max_pushes\":1.5!settings.limits.max_pushes: out of range",
        "\"cancel\":true!\"x\":1!settings.limits.cancel: is missing",
        "\"fall_ms\":1500!\"x\":1!settings.rules.fall_ms: is missing, but is set in the current configuration",
        "\"rules\"!\"ruled\"!settings.rules.fall_ms: is missing, but is set in the current configuration",
        "\"categories\":[!\"categories\":[],\"x\":[!settings.categories: is missing or empty",
        "\"discovery\"!\"found\"!discovery: is missing",
        "\"seed\"!\"sown\"!seed: is missing, but is set in the current configuration"
      })
  void reloadAcceptsValidReplacementAndNamesMissingOrInvalidKey(
      String oldText, String newText, String expectedError) throws IOException {
    String valid =
        "{\"discovery\":\"b1\",\"seed\":\"1\",\"settings\":{\"categories\":[{\"name\":\"a\",\"effect\":\"idempotent\",\"target_latency_ms\":300,"
            + "\"ttl_ms\":900,\"benefit\":1}],\"tenants\":[],\"limits\":{\"max_pushes\":3,\"may_duplicate\":true,\"cancel\":true},\"rules\":{\"fall_ms\":1500}}}";
    ConfigValues current = values(valid);
    assertTrue(valid.contains(oldText));
    ConfigValues next = values(valid.replace(oldText, newText));
    String error = null;
    try {
      next.require("discovery");
      ConfigReader.sidecarSettings(next.section("settings"));
      ConfigReplacement.check(next, current);
    } catch (InvalidConfigException e) {
      error = e.getMessage();
    }
    assertEquals(expectedError == null, error == null, error);
    assertTrue(expectedError == null || error.startsWith(expectedError), error);
  }

  @Test
  void fileTakesPrecedenceOverEnvironment() throws IOException {
    ConfigValues values = values("{\"name\":\"n1\",\"seed\":\"8c1f30d27a5be964\"}");
    assertEquals("n1", values.require("name"));
    assertEquals(
        "NODE_CONFIG: is missing",
        assertThrows(InvalidConfigException.class, () -> EnvironmentVariables.configFile(Map.of()))
            .getMessage());
    assertEquals("from-env", values.require("listen"));
    assertEquals(0x8c1f30d27a5be964L, ConfigReader.seed(values));
    assertEquals(
        "discovery: is missing",
        assertThrows(InvalidConfigException.class, () -> values.require("discovery")).getMessage());
  }
}
