package dillcross.net;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import dillcross.common.NumericAddress;
import dillcross.membership.Claim;
import dillcross.membership.Packet;
import dillcross.membership.Payload;
import dillcross.membership.State;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Packets among sidecars as CBOR: a map of short names, lists below it. A name, or an item at the
 * end of a list, that is not known is passed over, so a later version may add both. What is
 * malformed in any other way is no packet.
 */
public final class PacketCodec {
  private static final int VERSION = 1; // raised only where older readers would misread
  private static final int MOST_CLAIMS = 256;
  private static final int MOST_DEPTH = 8;
  private static final Packet.Kind[] KINDS = Packet.Kind.values();
  private static final State[] STATES = State.values();
  private final CBORFactory cbor =
      CBORFactory.builder().enable(CBORGenerator.Feature.WRITE_MINIMAL_INTS).build();
  private final String fleet;

  /** {@code fleet} names who belongs together; packets of another are malformed here. */
  public PacketCodec(String fleet) {
    this.fleet = fleet;
  }

  public byte[] write(Packet packet) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(packet.size() + 64);
    try (JsonGenerator out = cbor.createGenerator(bytes)) {
      out.writeStartObject();
      out.writeNumberField("v", VERSION);
      out.writeStringField("n", fleet);
      out.writeNumberField("k", packet.kind().ordinal());
      out.writeNumberField("s", packet.sequence());
      out.writeFieldName("f");
      write(out, packet.from());
      if (packet.about() != null) {
        out.writeFieldName("a");
        write(out, packet.about());
      }
      if (packet.digest().length > 0) {
        out.writeFieldName("d");
        out.writeArray(packet.digest(), 0, packet.digest().length);
      }
      if (!packet.claims().isEmpty()) {
        out.writeFieldName("c");
        out.writeStartArray(packet.claims(), packet.claims().size());
        for (Claim claim : packet.claims()) {
          write(out, claim);
        }
        out.writeEndArray();
      }
      if (!packet.payloads().isEmpty()) {
        out.writeFieldName("p");
        out.writeStartArray(packet.payloads(), packet.payloads().size());
        for (Payload payload : packet.payloads()) {
          out.writeStartArray(payload, 5);
          out.writeString(payload.origin());
          out.writeNumber(payload.boot());
          out.writeNumber(payload.type());
          out.writeNumber(payload.version());
          out.writeBinary(payload.bytes());
          out.writeEndArray();
        }
        out.writeEndArray();
      }
      out.writeEndObject();
    } catch (IOException e) {
      throw new IllegalStateException(e); // into memory nothing fails
    }
    return bytes.toByteArray();
  }

  private static void write(JsonGenerator out, Claim claim) throws IOException {
    out.writeStartArray(claim, 7);
    out.writeString(claim.name());
    out.writeString(claim.address());
    out.writeString(claim.zone());
    out.writeNumber(claim.boot());
    out.writeNumber(claim.incarnation());
    out.writeNumber(claim.state().ordinal());
    out.writeString(claim.by());
    out.writeEndArray();
  }

  /** Null where it is no packet of this fleet. */
  public Packet read(byte[] bytes, int from, int length) {
    try (JsonParser in = cbor.createParser(bytes, from, length)) {
      need(in.nextToken() == JsonToken.START_OBJECT);
      long version = 0;
      String named = null;
      int kind = -1;
      long sequence = 0;
      Claim sender = null;
      Claim about = null;
      int[] digest = new int[0];
      List<Claim> claims = new ArrayList<>();
      List<Payload> payloads = new ArrayList<>();
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String name = in.currentName();
        in.nextToken();
        switch (name) {
          case "v" -> version = number(in, 1, 1 << 20);
          case "n" -> named = text(in, 64);
          case "k" -> kind = (int) number(in, 0, KINDS.length - 1);
          case "s" -> sequence = number(in, 0, Long.MAX_VALUE);
          case "f" -> sender = claim(in);
          case "a" -> about = claim(in);
          case "d" -> digest = digest(in);
          case "c" -> {
            need(in.currentToken() == JsonToken.START_ARRAY);
            while (in.nextToken() != JsonToken.END_ARRAY) {
              claims.add(claim(in));
              need(claims.size() <= MOST_CLAIMS);
            }
          }
          case "p" -> {
            need(in.currentToken() == JsonToken.START_ARRAY);
            while (in.nextToken() != JsonToken.END_ARRAY) {
              payloads.add(payload(in));
              need(payloads.size() <= MOST_CLAIMS);
            }
          }
          default -> skip(in);
        }
      }
      need(
          in.currentToken() == JsonToken.END_OBJECT
              && version == VERSION
              && fleet.equals(named)
              && kind >= 0
              && sender != null);
      return new Packet(KINDS[kind], sequence, sender, about, digest, claims, payloads);
    } catch (IOException
        | RuntimeException malformed) { // its reader throws what it likes at bytes that are no CBOR
      return null;
    }
  }

  private static Claim claim(JsonParser in) throws IOException {
    need(in.currentToken() == JsonToken.START_ARRAY);
    String name = nextText(in, 64);
    String address = nextText(in, 56);
    String zone = nextText(in, 64);
    long boot = nextNumber(in, 0, Long.MAX_VALUE);
    long incarnation = nextNumber(in, 0, Long.MAX_VALUE);
    int state = (int) nextNumber(in, 0, STATES.length - 1);
    String by = nextText(in, 64);
    end(in);
    need(!name.isEmpty() && NumericAddress.parse(address).isPresent());
    return new Claim(name, address, zone, boot, incarnation, STATES[state], by);
  }

  private static Payload payload(JsonParser in) throws IOException {
    need(in.currentToken() == JsonToken.START_ARRAY);
    String origin = nextText(in, 64);
    long boot = nextNumber(in, 0, Long.MAX_VALUE);
    int type = (int) nextNumber(in, 0, 1 << 20);
    long version = nextNumber(in, 0, Long.MAX_VALUE);
    need(in.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT);
    byte[] bytes = in.getBinaryValue();
    need(bytes.length <= Payload.MOST_BYTES);
    end(in);
    return new Payload(origin, boot, type, version, bytes);
  }

  private static int[] digest(JsonParser in) throws IOException {
    need(in.currentToken() == JsonToken.START_ARRAY);
    int[] sums = new int[64];
    int count = 0;
    while (in.nextToken() != JsonToken.END_ARRAY) {
      need(count < sums.length);
      sums[count++] = (int) number(in, Integer.MIN_VALUE, Integer.MAX_VALUE);
    }
    return java.util.Arrays.copyOf(sums, count);
  }

  /** Passes over what a later version added to a list. */
  private static void end(JsonParser in) throws IOException {
    while (in.nextToken() != JsonToken.END_ARRAY) {
      need(in.currentToken() != null);
      skip(in);
    }
  }

  private static void skip(JsonParser in) throws IOException {
    int depth = in.currentToken() != null && in.currentToken().isStructStart() ? 1 : 0;
    while (depth > 0) {
      JsonToken token = in.nextToken();
      need(token != null);
      depth += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
      need(depth < MOST_DEPTH);
    }
  }

  private static long nextNumber(JsonParser in, long least, long most) throws IOException {
    in.nextToken();
    return number(in, least, most);
  }

  private static String nextText(JsonParser in, int most) throws IOException {
    in.nextToken();
    return text(in, most);
  }

  private static long number(JsonParser in, long least, long most) throws IOException {
    need(in.currentToken() == JsonToken.VALUE_NUMBER_INT);
    long number = in.getLongValue();
    need(number >= least && number <= most);
    return number;
  }

  private static String text(JsonParser in, int most) throws IOException {
    need(in.currentToken() == JsonToken.VALUE_STRING);
    String text = in.getText();
    need(text.length() <= most && text.chars().allMatch(c -> c >= 0x21 && c < 0x7f));
    return text;
  }

  private static void need(boolean holds) throws IOException {
    if (!holds) {
      throw new IOException("malformed");
    }
  }
}
