package dillcross.emulator.scenario;

import dillcross.emulator.scenario.Setting.ChoiceSetting;
import dillcross.emulator.scenario.Setting.DecimalSetting;
import dillcross.emulator.scenario.Setting.FlagSetting;
import dillcross.emulator.scenario.Setting.IntegerSetting;
import dillcross.emulator.scenario.Setting.RangeSetting;
import dillcross.emulator.scenario.Setting.RequiredTextSetting;
import dillcross.emulator.scenario.Setting.TextListSetting;
import dillcross.emulator.scenario.Setting.TextSetting;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * One table of a scenario file. Values are read key by key and errors are collected; {@link
 * #reportUnknownKeys} then reports every key that was not read.
 */
final class TomlSection {
  /** Location of a table: its file, the prefix of its keys in messages, and its position. */
  private record Location(String file, String keyPrefix, TomlPosition position) {}

  private final TomlTable table;
  private final Location location;
  private final TomlSection fallback; // provides absent tables and numbers; null if there is none
  private final List<String> errors;
  private final Set<String> requestedKeys = new HashSet<>();

  private TomlSection(
      TomlTable table, Location location, TomlSection fallback, List<String> errors) {
    this.table = table;
    this.location = location;
    this.fallback = fallback;
    this.errors = errors;
  }

  /** The top level of a file. The fallback may be null. */
  static TomlSection topLevel(
      TomlTable table, String file, TomlSection fallback, List<String> errors) {
    return new TomlSection(table, new Location(file, "", null), fallback, errors);
  }

  /** Records an error of the key with its file, line and path. */
  void addError(String key, String message) {
    TomlPosition keyPosition = table.inputPositionOf(List.of(key));
    TomlPosition position = keyPosition == null ? location.position : keyPosition;
    String line = position == null ? "" : ":" + position.line();
    errors.add(location.file + line + ": " + location.keyPrefix + key + ": " + message);
  }

  private Object request(String key) {
    requestedKeys.add(key);
    return table.get(List.of(key));
  }

  /** The table of that key; an empty one if it is absent. */
  TomlSection section(String key) {
    Object value = request(key);
    if (value == null && fallback != null) {
      return fallback.section(key);
    }
    if (value != null && !(value instanceof TomlTable)) {
      addError(key, "has to be a table");
    }
    TomlTable child = value instanceof TomlTable present ? present : Toml.parse("");
    return createChild(child, key, table.inputPositionOf(List.of(key)));
  }

  /** The tables of that key, in the order of the file. */
  List<TomlSection> sections(String key) {
    Object value = request(key);
    if (value == null && fallback != null) {
      return fallback.sections(key);
    }
    List<TomlSection> children = new ArrayList<>();
    if (value instanceof TomlArray array && containsOnly(array, TomlTable.class)) {
      for (int i = 0; i < array.size(); i++) {
        children.add(createChild(array.getTable(i), key + "[" + i + "]", array.inputPositionOf(i)));
      }
    } else if (value != null) {
      addError(key, "has to be a list of tables");
    }
    return children;
  }

  private TomlSection createChild(TomlTable child, String name, TomlPosition position) {
    String keyPrefix = location.keyPrefix + name + ".";
    return new TomlSection(child, new Location(location.file, keyPrefix, position), null, errors);
  }

  private static boolean containsOnly(TomlArray array, Class<?> type) {
    return array.toList().stream().allMatch(type::isInstance);
  }

  double decimal(DecimalSetting setting) {
    Object value = request(setting.key());
    if (value == null) {
      return fallback == null ? setting.defaultValue() : fallback.decimal(setting);
    }
    if (!(value instanceof Number number)) {
      addError(setting.key(), "has to be a number");
      return setting.defaultValue();
    }
    return checkRange(setting.key(), number.doubleValue(), setting.minimum(), setting.maximum());
  }

  int integer(IntegerSetting setting) {
    double value = decimal(setting.asDecimal());
    if (value != Math.rint(value)) {
      addError(setting.key(), "has to be a whole number");
    }
    return (int) value;
  }

  Range range(RangeSetting setting) {
    String key = setting.key();
    Object value = request(key);
    if (value instanceof Number number) {
      return Range.of(checkRange(key, number.doubleValue(), 0, RangeSetting.MAXIMUM));
    }
    if (value instanceof TomlArray array
        && array.size() == 2
        && containsOnly(array, Number.class)) {
      double first = ((Number) array.get(0)).doubleValue();
      double second = ((Number) array.get(1)).doubleValue();
      double minimum = checkRange(key, first, 0, RangeSetting.MAXIMUM);
      return new Range(minimum, checkRange(key, second, minimum, RangeSetting.MAXIMUM));
    }
    if (value != null) {
      addError(key, "has to be a number, or a list of two numbers, the smaller first");
    }
    return setting.defaultValue();
  }

  /** The value, or the minimum after recording an error if the value is out of range. */
  private double checkRange(String key, double value, double minimum, double maximum) {
    boolean isInRange = value >= minimum && value <= maximum; // false for NaN
    if (isInRange) {
      return value;
    }
    addError(key, ScenarioMessages.outOfRange(value, minimum, maximum));
    return minimum;
  }

  boolean flag(FlagSetting setting) {
    Object value = request(setting.key());
    if (value != null && !(value instanceof Boolean)) {
      addError(setting.key(), "has to be true or false");
    }
    return value instanceof Boolean flag ? flag : setting.defaultValue();
  }

  /** The text, or null after recording an error if there is none. */
  String requiredText(RequiredTextSetting setting) {
    if (request(setting.key()) == null) {
      addError(setting.key(), "is missing");
    }
    return text(new TextSetting(setting.key(), null));
  }

  String text(TextSetting setting) {
    Object value = request(setting.key());
    if (value != null && !(value instanceof String)) {
      addError(setting.key(), "has to be text");
    }
    return value instanceof String text ? text : setting.defaultValue();
  }

  String choice(ChoiceSetting setting) {
    String text = text(new TextSetting(setting.key(), setting.defaultValue()));
    if (!setting.choices().contains(text)) {
      addError(setting.key(), ScenarioMessages.unknownChoice(text, setting.choices()));
    }
    return text;
  }

  List<String> textList(TextListSetting setting) {
    Object value = request(setting.key());
    if (value == null) {
      return setting.defaultValue();
    }
    if (value instanceof TomlArray array && array.size() > 0 && containsOnly(array, String.class)) {
      return array.toList().stream().map(String.class::cast).toList();
    }
    addError(setting.key(), "has to be a list of at least one text");
    return setting.defaultValue();
  }

  /** Records an error for each key that has not been read. */
  void reportUnknownKeys() {
    for (String key : table.keySet()) {
      if (!requestedKeys.contains(key)) {
        addError(key, ScenarioMessages.unknownKey(key, requestedKeys));
      }
    }
  }
}
