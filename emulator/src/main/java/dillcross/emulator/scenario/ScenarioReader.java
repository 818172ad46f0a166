package dillcross.emulator.scenario;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;

/** Reads and checks a scenario file. All errors of a file are reported together. */
public final class ScenarioReader {
  private static final Pattern FAULT_HEADER =
      Pattern.compile("(?m)^[ \\t]*\\[\\[ *trouble *\\]\\]");

  private final String file;
  private final List<String> errors = new ArrayList<>();

  private ScenarioReader(String file) {
    this.file = file;
  }

  /** Reads a scenario from the file. A file that can't be read is reported as invalid. */
  public static Scenario read(Path file) throws InvalidScenarioException {
    return parse(file.toString(), readText(file));
  }

  private static String readText(Path file) throws InvalidScenarioException {
    try {
      return Files.readString(file, StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new InvalidScenarioException(List.of(file + ": can't be read: " + e));
    }
  }

  /**
   * Reads a scenario from its text. Messages name {@code file}, and a scenario that {@code like}
   * refers to is read from the directory of {@code file}.
   */
  public static Scenario parse(String file, String text) throws InvalidScenarioException {
    ScenarioReader reader = new ScenarioReader(file);
    TomlTable table = parseToml(file, text);
    TomlSection fallback = reader.readFallback(table);
    TomlSection top = TomlSection.topLevel(table, file, fallback, reader.errors);
    Scenario scenario = reader.readScenario(top);
    if (!reader.errors.isEmpty()) {
      throw new InvalidScenarioException(reader.errors);
    }
    return scenario;
  }

  /** Reads the file that {@code like} names; null if the scenario has no such key. */
  private TomlSection readFallback(TomlTable table) throws InvalidScenarioException {
    Object like = table.get(List.of(ScenarioSettings.Top.LIKE.key()));
    if (!(like instanceof String otherName)) {
      return null;
    }
    Path otherFile = Path.of(file).resolveSibling(otherName);
    TomlTable other = parseToml(otherFile.toString(), readText(otherFile));
    return TomlSection.topLevel(other, otherFile.toString(), null, errors);
  }

  private static TomlTable parseToml(String file, String text) throws InvalidScenarioException {
    TomlParseResult toml = Toml.parse(text);
    if (toml.hasErrors()) {
      throw new InvalidScenarioException(
          toml.errors().stream()
              .map(error -> file + ":" + error.position().line() + ": " + error.getMessage())
              .toList());
    }
    return toml;
  }

  /** The text of a scenario without its faults, which come last in the file. */
  public static String withoutFaults(String text) {
    Matcher firstFault = FAULT_HEADER.matcher(text);
    return firstFault.find() ? text.substring(0, firstFault.start()) : text;
  }

  private Scenario readScenario(TomlSection top) {
    top.text(ScenarioSettings.Top.LIKE);
    Scenario.SidecarGroup sidecars = SectionReader.sidecars(top.section("sidecars"));
    Map<String, String> sidecarSettings =
        SectionReader.sidecarConfiguration(top.section("settings"));
    List<Scenario.RequestClass> requestClasses = readRequestClasses(top);
    Scenario.ClientSettings clients = SectionReader.clients(top.section("clients"));
    Scenario.EndpointSettings endpoints = SectionReader.endpoints(top.section("endpoints"));
    Scenario.DiscoverySettings discovery = SectionReader.discovery(top.section("list"));
    Scenario.NetworkSettings network = SectionReader.network(top.section("network"));
    Scenario.Rules rules = SectionReader.oracleRules(top.section("rules"));
    List<Fault> faults = readFaults(top, new FaultReader(sidecars, endpoints));
    Scenario scenario =
        new Scenario(
            top.text(ScenarioSettings.Top.NAME),
            top.decimal(ScenarioSettings.Top.SECONDS),
            sidecars,
            sidecarSettings,
            requestClasses,
            clients,
            endpoints,
            discovery,
            network,
            rules,
            faults);
    top.reportUnknownKeys();
    return scenario;
  }

  private List<Scenario.RequestClass> readRequestClasses(TomlSection top) {
    List<Scenario.RequestClass> requestClasses = new ArrayList<>();
    for (TomlSection section : top.sections("category")) {
      requestClasses.add(SectionReader.requestClass(section));
    }
    if (requestClasses.isEmpty()) {
      errors.add(file + ": category: at least one is needed");
    }
    return requestClasses;
  }

  private static List<Fault> readFaults(TomlSection top, FaultReader reader) {
    List<Fault> faults = new ArrayList<>();
    for (TomlSection section : top.sections("trouble")) {
      faults.add(reader.read(section));
    }
    return faults;
  }
}
