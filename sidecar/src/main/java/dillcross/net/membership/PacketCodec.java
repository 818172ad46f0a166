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
 * Encodes the packets of the membership protocol as CBOR: a map with the keys of {@link
 * PacketKeys}, in which records and payloads are arrays of fixed order. The decoder skips unknown
 * keys and unknown items at the end of an array, so that a later version can add both. Input that
 * is malformed in any other way is rejected.
 */
public final class PacketCodec {
  /** The version of the format, raised only for a change that older decoders would misread. */
  static final int VERSION = 1;

  private static final int RECORD_FIELDS = 7;
  private static final int PAYLOAD_FIELDS = 5;
  private static final int FRAME_BYTES = 64; // initial space for the fleet's name and framing

  private final CBORFactory cbor =
      CBORFactory.builder().enable(CBORGenerator.Feature.WRITE_MINIMAL_INTS).build();
  private final String fleet;

  /** Creates a codec for one fleet; packets that name another fleet are rejected. */
  public PacketCodec(String fleet) {
    this.fleet = fleet;
  }

  /** Encodes a packet, together with the name of the fleet. */
  public byte[] encode(Packet packet) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(packet.size() + FRAME_BYTES);
    try (JsonGenerator out = cbor.createGenerator(bytes)) {
      write(out, packet);
    } catch (IOException e) {
      throw new IllegalStateException(e); // not expected, as the packet is written to memory
    }
    return bytes.toByteArray();
  }

  @SuppressWarnings("EnumOrdinal") // the wire carries ordinals of kinds
  private void write(JsonGenerator out, Packet packet) throws IOException {
    out.writeStartObject();
    out.writeNumberField(PacketKeys.VERSION, VERSION);
    out.writeStringField(PacketKeys.FLEET, fleet);
    out.writeNumberField(PacketKeys.KIND, packet.kind().ordinal());
    out.writeNumberField(PacketKeys.SEQUENCE, packet.sequence());
    out.writeFieldName(PacketKeys.SENDER);
    write(out, packet.sender());
    if (packet.target() != null) {
      out.writeFieldName(PacketKeys.TARGET);
      write(out, packet.target());
    }
    if (packet.digest().length > 0) {
      out.writeFieldName(PacketKeys.DIGEST);
      out.writeArray(packet.digest(), 0, packet.digest().length);
    }
    if (!packet.records().isEmpty()) {
      out.writeFieldName(PacketKeys.RECORDS);
      out.writeStartArray(packet.records(), packet.records().size());
      for (MemberRecord record : packet.records()) {
        write(out, record);
      }
      out.writeEndArray();
    }
    if (!packet.payloads().isEmpty()) {
      out.writeFieldName(PacketKeys.PAYLOADS);
      out.writeStartArray(packet.payloads(), packet.payloads().size());
      for (Payload payload : packet.payloads()) {
        write(out, payload);
      }
      out.writeEndArray();
    }
    out.writeEndObject();
  }

  @SuppressWarnings("EnumOrdinal") // the wire carries ordinals of states
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

  /** Decodes a packet; empty if the bytes are malformed or the packet is of another fleet. */
  public Optional<Packet> decode(byte[] bytes, int offset, int length) {
    try (JsonParser in = cbor.createParser(bytes, offset, length)) {
      return Optional.of(new PacketReader(in, fleet).read());
    } catch (IOException | RuntimeException malformed) { // the parser throws either for garbage
      return Optional.empty();
    }
  }
}
