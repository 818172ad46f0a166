package dillcross.emulator.trace;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.io.SerializedString;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.security.DigestOutputStream;
import java.security.MessageDigest;
import java.util.function.LongSupplier;

/**
 * What happened in a day as JSON, one event a line, and the digest of all of it. Each line bears a
 * sum over all bytes that were carried so far, so two days with the same digest were the same to
 * the byte.
 */
public final class Trace {
  /** Who wants to hear the events as they come. */
  public interface Reader {
    void event(long us, String what, Object[] pairs);
  }

  private static final JsonFactory JSON = new JsonFactory();
  private final MessageDigest digest;
  private final JsonGenerator lines;
  private final LongSupplier nowUs;
  private final LongSupplier sum;
  private final Reader reader; // null where there is none
  private long count;

  /** {@code nowUs} counts from the start of the day. */
  public Trace(OutputStream to, LongSupplier nowUs, LongSupplier sum, Reader reader) {
    this.nowUs = nowUs;
    this.sum = sum;
    this.reader = reader;
    digest = Sha256.newDigest();
    try {
      lines = JSON.createGenerator(new DigestOutputStream(to, digest));
      lines.setRootValueSeparator(new SerializedString("\n"));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** An event and its figures: a name, a value, and so on; what is null is left out. */
  public void note(String what, Object... pairs) {
    try {
      count++;
      lines.writeStartObject();
      lines.writeNumberField("t", nowUs.getAsLong());
      lines.writeStringField("e", what);
      for (int i = 0; i < pairs.length; i += 2) {
        if (pairs[i + 1] instanceof String text) {
          lines.writeStringField((String) pairs[i], text);
        } else if (pairs[i + 1] instanceof Double number) {
          lines.writeNumberField((String) pairs[i], number);
        } else if (pairs[i + 1] instanceof Boolean flag) {
          lines.writeBooleanField((String) pairs[i], flag);
        } else if (pairs[i + 1] instanceof Number number) {
          lines.writeNumberField((String) pairs[i], number.longValue());
        }
      }
      lines.writeNumberField("w", sum.getAsLong());
      lines.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    if (reader != null) {
      reader.event(nowUs.getAsLong(), what, pairs);
    }
  }

  public long count() {
    return count;
  }

  /** Ends the trace; its digest. */
  public String end() {
    try {
      lines.writeRaw('\n');
      lines.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return Sha256.format(digest);
  }
}
