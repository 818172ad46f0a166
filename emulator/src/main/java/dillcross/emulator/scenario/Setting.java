package dillcross.emulator.scenario;

import java.util.List;

/** One key of a scenario file, with its default and the values it accepts. */
sealed interface Setting {
  /** The key within its table. */
  String key();

  /** A number from {@code minimum} to {@code maximum}, both included. */
  record DecimalSetting(String key, double defaultValue, double minimum, double maximum)
      implements Setting {}

  /** A whole number from {@code minimum} to {@code maximum}, both included. */
  record IntegerSetting(String key, int defaultValue, int minimum, int maximum) implements Setting {
    DecimalSetting asDecimal() {
      return new DecimalSetting(key, defaultValue, minimum, maximum);
    }
  }

  /** One number, or the bounds of a range from which each run draws; from 0 to {@link #MAXIMUM}. */
  record RangeSetting(String key, Range defaultValue) implements Setting {
    static final double MAXIMUM = 1e9;
  }

  /** True or false. */
  record FlagSetting(String key, boolean defaultValue) implements Setting {}

  /** One of the named values. */
  record ChoiceSetting(String key, String defaultValue, List<String> choices) implements Setting {}

  /** Any text. */
  record TextSetting(String key, String defaultValue) implements Setting {}

  /** A text that has no default. */
  record RequiredTextSetting(String key) implements Setting {}

  /** A list of texts that is not empty. */
  record TextListSetting(String key, List<String> defaultValue) implements Setting {}
}
