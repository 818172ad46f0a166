package dillcross.net.membership;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import dillcross.membership.MemberRecord;
import dillcross.membership.MemberState;
import dillcross.membership.Packet;
import dillcross.membership.Payload;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class PacketCodecTest {
  private static final MemberRecord MEMBER =
      new MemberRecord(
          "s1", "127.0.0.1:7001", "east", 1L << 60, Long.MAX_VALUE, MemberState.SUSPECT, "s2");
  private static final Packet PACKET =
      new Packet(
          Packet.Kind.DELTA,
          Long.MAX_VALUE,
          MEMBER,
          MEMBER,
          new int[] {1, -1, Integer.MIN_VALUE},
          List.of(MEMBER, MEMBER),
          List.of(new Payload("s3", 1L << 60, 7, Long.MAX_VALUE, new byte[Payload.MAX_BYTES])));
  private final PacketCodec codec = new PacketCodec("east-fleet");

  private Packet decode(byte[] bytes) {
    return codec.decode(bytes, 0, bytes.length).orElse(null);
  }

  @Test
  void decodesEncodedPacketOfAtMostItsStatedSize() {
    byte[] bytes = codec.encode(PACKET);
    Packet decoded = decode(bytes);
    assertEquals(PACKET.records(), decoded.records());
    assertEquals(PACKET.target(), decoded.target());
    assertEquals(PACKET.sequence(), decoded.sequence());
    assertArrayEquals(PACKET.digest(), decoded.digest());
    assertArrayEquals(PACKET.payloads().get(0).bytes(), decoded.payloads().get(0).bytes());
    assertTrue(
        bytes.length <= PACKET.size() + "east-fleet".length(),
        bytes.length + " of " + PACKET.size());
  }

  @Test
  void rejectsTruncatedPacketAndNeverThrowsForCorruptedOne() {
    byte[] bytes = codec.encode(PACKET);
    for (int i = 0; i < bytes.length; i++) {
      assertNull(decode(Arrays.copyOf(bytes, i)), "truncated to " + i + " bytes");
    }
    Random random = new Random(5);
    int accepted = 0;
    for (int i = 0; i < 20_000; i++) {
      byte[] changed = bytes.clone();
      for (int k = 0; k < 1 + i % 4; k++) {
        changed[random.nextInt(changed.length)] = (byte) random.nextInt();
      }
      accepted += decode(changed) != null ? 1 : 0;
      byte[] noise = new byte[i % 300];
      random.nextBytes(noise);
      assertNull(decode(noise));
    }
    assertTrue(accepted < 16_000, "corrupted packets that were accepted, of 20,000: " + accepted);
  }

  @Test
  void rejectsPacketOfAnotherFleet() {
    byte[] bytes = new PacketCodec("other").encode(PACKET);
    assertNull(decode(bytes));
  }

  @Test
  void skipsKeysAndItemsOfLaterVersion() throws Exception {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator out = new CBORFactory().createGenerator(bytes)) {
      out.writeStartObject();
      out.writeNumberField("v", 1);
      out.writeFieldName("new");
      out.writeStartArray();
      out.writeStartObject();
      out.writeStringField("x", "y");
      out.writeEndObject();
      out.writeEndArray();
      out.writeStringField("n", "east-fleet");
      out.writeNumberField("k", 0);
      out.writeNumberField("s", 4);
      out.writeFieldName("f");
      out.writeStartArray();
      for (String text : List.of("s1", "127.0.0.1:1", "east")) {
        out.writeString(text);
      }
      out.writeNumber(1);
      out.writeNumber(0);
      out.writeNumber(0);
      out.writeString("");
      out.writeStartArray();
      out.writeNumber(9); // an item that this version does not know
      out.writeEndArray();
      out.writeEndArray();
      out.writeEndObject();
    }
    Packet decoded = decode(bytes.toByteArray());
    assertNotNull(decoded);
    assertEquals("s1", decoded.sender().name());
    assertEquals(4, decoded.sequence());
  }
}
