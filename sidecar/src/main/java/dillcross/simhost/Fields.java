package dillcross.simhost;

/** Reads the parts of one line, in order, without splitting it first. */
final class Fields {
  private final long number;
  private final String line;
  private int at;

  Fields(String line, long number) {
    this.line = line;
    this.number = number;
  }

  boolean more() {
    return at < line.length();
  }

  /** The next part; null where it is absent ({@code -}). */
  String textOrNull() {
    if (!more()) {
      throw malformed("a part is missing", null);
    }
    int end = line.indexOf(' ', at);
    end = end < 0 ? line.length() : end;
    String part = line.substring(at, end);
    at = end + 1;
    return part.equals("-") ? null : part;
  }

  String text() {
    String part = textOrNull();
    if (part == null) {
      throw malformed("a part is absent that has to be there", null);
    }
    return part;
  }

  long whole(long ifAbsent) {
    String part = textOrNull();
    try {
      return part == null ? ifAbsent : Long.parseLong(part);
    } catch (NumberFormatException e) {
      throw malformed("not a whole number: " + part, e);
    }
  }

  int small() {
    long value = whole(0);
    if (value < 0 || value > Integer.MAX_VALUE) {
      throw malformed("number out of range: " + value, null);
    }
    return (int) value;
  }

  double real(double ifAbsent) {
    String part = textOrNull();
    try {
      return part == null ? ifAbsent : Double.parseDouble(part);
    } catch (NumberFormatException e) {
      throw malformed("not a number: " + part, e);
    }
  }

  /** Milliseconds with a fraction, as whole microseconds. */
  long micros(long ifAbsent) {
    double ms = real(Double.NaN);
    return Double.isNaN(ms) ? ifAbsent : Math.round(ms * 1000);
  }

  boolean flag() {
    String part = textOrNull();
    return part != null && !part.equals("0");
  }

  WireException malformed(String what, Throwable cause) {
    String shown = line.length() > 200 ? line.substring(0, 200) + "..." : line;
    WireException e = new WireException("line " + number + ": " + what + ": " + shown);
    if (cause != null) {
      e.initCause(cause);
    }
    return e;
  }
}
