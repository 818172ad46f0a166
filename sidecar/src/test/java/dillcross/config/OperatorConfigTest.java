package dillcross.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.membership.MembershipSettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests reading the operators' file: defaults, and errors that name line and key. */
class OperatorConfigTest {
  @TempDir private Path folder;

  private Optional<MembershipConfig> membership(String text) throws IOException {
    Path file = folder.resolve("operator.toml");
    Files.writeString(file, text);
    return OperatorConfig.read(file.toString()).membership("n1", "east");
  }

  @Test
  void membershipIsOffWithoutItsTable() throws IOException {
    assertEquals(Optional.empty(), membership("# no table\n"));
  }

  @Test
  void absentKeysHaveDefaults() throws IOException {
    Optional<MembershipConfig> membership =
        membership("[membership]\nbind = \"127.0.0.1:7946\"\nseeds = [\"127.0.0.1:7947\"]\n");
    assertEquals(
        Optional.of(
            new MembershipConfig(
                "dillcross",
                "n1",
                "east",
                "127.0.0.1:7946",
                "",
                new MembershipSettings(
                    List.of("127.0.0.1:7947"), 1_000_000, 300_000, 4096, 1200, 20_000))),
        membership);
  }

  @Test
  void readsDeployedExample() {
    assertEquals(
        "127.0.0.1:7946",
        OperatorConfig.read("../deploy/operator-example.toml")
            .membership("n1", "east")
            .orElseThrow()
            .bind());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "[membership] | 1 | membership.bind",
        "[membership];bind = \"localhost:1\" | 2 | membership.bind",
        "[membership];bind = \"127.0.0.1:1\";interval_ms = 5 | 3 | membership.interval_ms",
        "[membership];bind = \"127.0.0.1:1\";interval_ms = 1000;timeout_ms = 900 | 4 | membership.timeout_ms",
        "[membership];bind = \"127.0.0.1:1\";seeds = [\"x\"] | 3 | membership.seeds",
        "[membership];bind = \"127.0.0.1:1\";sedes = [] | 3 | membership.sedes",
        "[membershop];bind = 1 | 1 | membershop",
        "[membership;bind = 1 | 1 | not TOML"
      })
  void errorNamesLineAndKey(String text, int line, String key) {
    String message =
        assertThrows(InvalidConfigException.class, () -> membership(text.replace(';', '\n')))
            .getMessage();
    assertTrue(message.contains(key) && message.contains("line " + line), message);
  }

  @Test
  void missingFileIsInvalid() {
    assertTrue(
        assertThrows(InvalidConfigException.class, () -> OperatorConfig.read("/no/such/file.toml"))
            .getMessage()
            .contains("can't be read"));
  }
}
