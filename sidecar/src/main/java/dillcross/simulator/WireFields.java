package dillcross.simulator;

/**
 * Reads the fields of one line, in order, without splitting it first. Each method reads the next
 * field, and throws {@link MalformedInputException} where it is missing or malformed.
 */
final class WireFields {
  private static final int MAX_QUOTED_CHARS = 200;
  private static final int MICROS_PER_MILLI = 1000;

  private final long lineNumber;
  private final String line;
  private int position;

  WireFields(String line, long lineNumber) {
    this.line = line;
    this.lineNumber = lineNumber;
  }

  boolean hasMore() {
    return position < line.length();
  }

  /** The next field; null where it is absent ({@code -}). */
  String optionalText() {
    if (!hasMore()) {
      throw malformed("a field is missing");
    }
    int end = line.indexOf(' ', position);
    end = end < 0 ? line.length() : end;
    String field = line.substring(position, end);
    position = end + 1;
    return field.equals(WireFormat.ABSENT) ? null : field;
  }

  /** The next field; throws {@link MalformedInputException} where it is absent. */
  String text() {
    String field = optionalText();
    if (field == null) {
      throw malformed("a required field is absent");
    }
    return field;
  }

  /** Skips the next field, whatever its value. */
  void skip() {
    optionalText();
  }

  /** A whole number; {@code defaultValue} where it is absent. */
  long wholeNumber(long defaultValue) {
    String field = optionalText();
    try {
      return field == null ? defaultValue : Long.parseLong(field);
    } catch (NumberFormatException e) {
      throw malformed("not a whole number: " + field, e);
    }
  }

  /** A whole number of at least 0; 0 where it is absent. */
  int index() {
    long value = wholeNumber(0);
    if (value < 0 || value > Integer.MAX_VALUE) {
      throw malformed("number out of range: " + value);
    }
    return (int) value;
  }

  /** A number; {@code defaultValue} where it is absent. */
  double number(double defaultValue) {
    String field = optionalText();
    try {
      return field == null ? defaultValue : Double.parseDouble(field);
    } catch (NumberFormatException e) {
      throw malformed("not a number: " + field, e);
    }
  }

  /** The number in {@code text}, which is part of a field; 0 where it is absent ({@code -}). */
  double numberOf(String text) {
    return new WireFields(text, lineNumber).number(0);
  }

  /** Milliseconds with a fraction, as whole microseconds; 0 where they are absent. */
  long microseconds() {
    double ms = number(Double.NaN);
    return Double.isNaN(ms) ? 0 : Math.round(ms * MICROS_PER_MILLI);
  }

  /** Whether the field is neither {@code 0} nor absent. */
  boolean flag() {
    String field = optionalText();
    return field != null && !field.equals("0");
  }

  MalformedInputException malformed(String reason) {
    return new MalformedInputException(describe(reason));
  }

  MalformedInputException malformed(String reason, Throwable cause) {
    return new MalformedInputException(describe(reason), cause);
  }

  private String describe(String reason) {
    String quoted =
        line.length() > MAX_QUOTED_CHARS ? line.substring(0, MAX_QUOTED_CHARS) + "..." : line;
    return "line " + lineNumber + ": " + reason + ": " + quoted;
  }
}
