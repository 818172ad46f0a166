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
 * The events of a simulation run as JSON, one per line, and the digest of all lines. Each line
 * contains a checksum of the bytes transferred so far, so two runs with the same digest transferred
 * the same bytes.
 */
public final class Trace {
  /** Receives each event when it is recorded. */
  public interface Listener {
    /**
     * Receives one event.
     *
     * @param timeUs time in µs since the start of the run
     * @param event name of the event
     * @param fields names and values of the fields, alternating
     */
    void onEvent(long timeUs, String event, Object[] fields);
  }

  private static final String TIME_FIELD = "t";
  private static final String EVENT_FIELD = "e";
  private static final String CHECKSUM_FIELD = "w";

  private static final JsonFactory JSON = new JsonFactory();

  private final MessageDigest digest;
  private final JsonGenerator lines;
  private final LongSupplier nowUs;
  private final LongSupplier trafficChecksum;
  private final Listener listener; // null if there is none
  private long count;

  /**
   * Starts a trace.
   *
   * @param output where the lines are written
   * @param nowUs returns the time in µs since the start of the run
   * @param trafficChecksum returns the checksum of the bytes transferred so far
   * @param listener receives the events; may be null
   */
  public Trace(
      OutputStream output, LongSupplier nowUs, LongSupplier trafficChecksum, Listener listener) {
    this.nowUs = nowUs;
    this.trafficChecksum = trafficChecksum;
    this.listener = listener;
    digest = Sha256.newDigest();
    try {
      lines = JSON.createGenerator(new DigestOutputStream(output, digest));
      lines.setRootValueSeparator(new SerializedString("\n"));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Records an event.
   *
   * @param event name of the event
   * @param fields names and values of the fields, alternating; fields that are null are omitted
   */
  public void note(String event, Object... fields) {
    count++;
    try {
      writeLine(event, fields);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    if (listener != null) {
      listener.onEvent(nowUs.getAsLong(), event, fields);
    }
  }

  private void writeLine(String event, Object[] fields) throws IOException {
    lines.writeStartObject();
    lines.writeNumberField(TIME_FIELD, nowUs.getAsLong());
    lines.writeStringField(EVENT_FIELD, event);
    for (int i = 0; i < fields.length; i += 2) {
      writeField((String) fields[i], fields[i + 1]);
    }
    lines.writeNumberField(CHECKSUM_FIELD, trafficChecksum.getAsLong());
    lines.writeEndObject();
  }

  private void writeField(String name, Object value) throws IOException {
    if (value instanceof String text) {
      lines.writeStringField(name, text);
    } else if (value instanceof Double number) {
      lines.writeNumberField(name, number);
    } else if (value instanceof Boolean flag) {
      lines.writeBooleanField(name, flag);
    } else if (value instanceof Number number) {
      lines.writeNumberField(name, number.longValue());
    }
  }

  /** Number of events recorded. */
  public long count() {
    return count;
  }

  /** Ends the trace, closes its output, and returns the digest of all lines. */
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
