package dillcross.net.membership;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import dillcross.membership.MemberRecord;
import dillcross.membership.Packet;
import dillcross.membership.Payload;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Optional;

/**
 * Packets among sidecars as CBOR: a map of short names, lists below it. A name, or an item at the
 * end of a list, that is not known is skipped, so a later version may add both. What is malformed
 * in any other way is no packet.
 */
public final class PacketCodec {
  /** Raised only where older readers would misread. */
  static final int VERSION = 1;

  private static final int RECORD_FIELDS = 7;
  private static final int PAYLOAD_FIELDS = 5;
  private static final int FRAME_BYTES = 64;

  private final CBORFactory cbor =
      CBORFactory.builder().enable(CBORGenerator.Feature.WRITE_MINIMAL_INTS).build();
  private final String fleet;

  /** {@code fleet} names who belongs together; packets of another are malformed here. */
  public PacketCodec(String fleet) {
    this.fleet = fleet;
  }

  /** The bytes of a packet. */
  public byte[] encode(Packet packet) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(packet.size() + FRAME_BYTES);
    try (JsonGenerator out = cbor.createGenerator(bytes)) {
      write(out, packet);
    } catch (IOException e) {
      throw new IllegalStateException(e); // into memory nothing fails
    }
    return bytes.toByteArray();
  }

  @SuppressWarnings("EnumOrdinal") // the order of the kinds is that of the wire
  private void write(JsonGenerator out, Packet packet) throws IOException {
    out.writeStartObject();
    out.writeNumberField("v", VERSION);
    out.writeStringField("n", fleet);
    out.writeNumberField("k", packet.kind().ordinal());
    out.writeNumberField("s", packet.sequence());
    out.writeFieldName("f");
    write(out, packet.sender());
    if (packet.about() != null) {
      out.writeFieldName("a");
      write(out, packet.about());
    }
    if (packet.digest().length > 0) {
      out.writeFieldName("d");
      out.writeArray(packet.digest(), 0, packet.digest().length);
    }
    if (!packet.records().isEmpty()) {
      out.writeFieldName("c");
      out.writeStartArray(packet.records(), packet.records().size());
      for (MemberRecord record : packet.records()) {
        write(out, record);
      }
      out.writeEndArray();
    }
    if (!packet.payloads().isEmpty()) {
      out.writeFieldName("p");
      out.writeStartArray(packet.payloads(), packet.payloads().size());
      for (Payload payload : packet.payloads()) {
        write(out, payload);
      }
      out.writeEndArray();
    }
    out.writeEndObject();
  }

  @SuppressWarnings("EnumOrdinal") // the order of the states is that of the wire
  private static void write(JsonGenerator out, MemberRecord record) throws IOException {
    out.writeStartArray(record, RECORD_FIELDS);
    out.writeString(record.name());
    out.writeString(record.address());
    out.writeString(record.zone());
    out.writeNumber(record.boot());
    out.writeNumber(record.incarnation());
    out.writeNumber(record.state().ordinal());
    out.writeString(record.suspectedBy());
    out.writeEndArray();
  }

  private static void write(JsonGenerator out, Payload payload) throws IOException {
    out.writeStartArray(payload, PAYLOAD_FIELDS);
    out.writeString(payload.origin());
    out.writeNumber(payload.boot());
    out.writeNumber(payload.type());
    out.writeNumber(payload.version());
    out.writeBinary(payload.bytes());
    out.writeEndArray();
  }

  /** The packet in these bytes; empty where there is none of this fleet. */
  public Optional<Packet> decode(byte[] bytes, int offset, int length) {
    try (JsonParser in = cbor.createParser(bytes, offset, length)) {
      return Optional.of(new PacketReader(in, fleet).read());
    } catch (IOException | RuntimeException malformed) { // the parser throws either at noise
      return Optional.empty();
    }
  }
}
