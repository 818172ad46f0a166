package dillcross.net.membership;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import dillcross.common.NumericAddress;
import dillcross.membership.MemberRecord;
import dillcross.membership.MemberState;
import dillcross.membership.Packet;
import dillcross.membership.Payload;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Reads one packet from CBOR; throws {@link IOException} if it is malformed. */
final class PacketReader {
  private static final char DELETE = 0x7f; // the first ASCII character that is not printable
  private static final int MAX_ITEMS = 256; // records, and likewise payloads, of one packet
  private static final int MAX_DIGEST_BUCKETS = 64;
  private static final int MAX_DEPTH = 8; // nesting within a skipped value
  private static final int MAX_NAME_LENGTH = 64;
  private static final int MAX_ADDRESS_LENGTH = 56;
  private static final int MAX_SMALL_NUMBER =
      1 << 20; // for versions of the format and payload types
  private static final Packet.Kind[] KINDS = Packet.Kind.values();
  private static final MemberState[] STATES = MemberState.values();

  private final JsonParser in;
  private final String fleet;
  private final List<MemberRecord> records = new ArrayList<>();
  private final List<Payload> payloads = new ArrayList<>();
  private long version;
  private String senderFleet;
  private int kind = -1; // until the packet names its kind
  private long sequence;
  private MemberRecord sender;
  private MemberRecord target; // null if the packet has none
  private int[] digest = new int[0]; // empty if the packet has none

  PacketReader(JsonParser in, String fleet) {
    this.in = in;
    this.fleet = fleet;
  }

  Packet read() throws IOException {
    check(in.nextToken() == JsonToken.START_OBJECT);
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String name = in.currentName();
      in.nextToken();
      readField(name);
    }
    check(in.currentToken() == JsonToken.END_OBJECT);
    check(version == PacketCodec.VERSION && fleet.equals(senderFleet));
    check(kind >= 0 && sender != null);
    return new Packet(KINDS[kind], sequence, sender, target, digest, records, payloads);
  }

  private void readField(String name) throws IOException {
    switch (name) {
      case PacketKeys.VERSION -> version = number(1, MAX_SMALL_NUMBER);
      case PacketKeys.FLEET -> senderFleet = text(MAX_NAME_LENGTH);
      case PacketKeys.KIND -> kind = (int) number(0, KINDS.length - 1);
      case PacketKeys.SEQUENCE -> sequence = number(0, Long.MAX_VALUE);
      case PacketKeys.SENDER -> sender = record();
      case PacketKeys.TARGET -> target = record();
      case PacketKeys.DIGEST -> digest = digest();
      case PacketKeys.RECORDS -> readRecords();
      case PacketKeys.PAYLOADS -> readPayloads();
      default -> skip();
    }
  }

  private void readRecords() throws IOException {
    check(in.currentToken() == JsonToken.START_ARRAY);
    while (in.nextToken() != JsonToken.END_ARRAY) {
      records.add(record());
      check(records.size() <= MAX_ITEMS);
    }
  }

  private void readPayloads() throws IOException {
    check(in.currentToken() == JsonToken.START_ARRAY);
    while (in.nextToken() != JsonToken.END_ARRAY) {
      payloads.add(payload());
      check(payloads.size() <= MAX_ITEMS);
    }
  }

  private MemberRecord record() throws IOException {
    check(in.currentToken() == JsonToken.START_ARRAY);
    String name = nextText(MAX_NAME_LENGTH);
    String address = nextText(MAX_ADDRESS_LENGTH);
    String zone = nextText(MAX_NAME_LENGTH);
    long boot = nextNumber(0, Long.MAX_VALUE);
    long incarnation = nextNumber(0, Long.MAX_VALUE);
    int state = (int) nextNumber(0, STATES.length - 1);
    String suspectedBy = nextText(MAX_NAME_LENGTH);
    skipToEnd();
    check(!name.isEmpty() && NumericAddress.parse(address).isPresent());
    return new MemberRecord(name, address, zone, boot, incarnation, STATES[state], suspectedBy);
  }

  private Payload payload() throws IOException {
    check(in.currentToken() == JsonToken.START_ARRAY);
    String origin = nextText(MAX_NAME_LENGTH);
    long boot = nextNumber(0, Long.MAX_VALUE);
    int type = (int) nextNumber(0, MAX_SMALL_NUMBER);
    long payloadVersion = nextNumber(0, Long.MAX_VALUE);
    check(in.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT);
    byte[] bytes = in.getBinaryValue();
    check(bytes.length <= Payload.MAX_BYTES);
    skipToEnd();
    return new Payload(origin, boot, type, payloadVersion, bytes);
  }

  private int[] digest() throws IOException {
    check(in.currentToken() == JsonToken.START_ARRAY);
    int[] sums = new int[MAX_DIGEST_BUCKETS];
    int count = 0;
    while (in.nextToken() != JsonToken.END_ARRAY) {
      check(count < sums.length);
      sums[count] = (int) number(Integer.MIN_VALUE, Integer.MAX_VALUE);
      count++;
    }
    return Arrays.copyOf(sums, count);
  }

  /** Skips the items that a later version has added at the end of the current array. */
  private void skipToEnd() throws IOException {
    while (in.nextToken() != JsonToken.END_ARRAY) {
      check(in.currentToken() != null);
      skip();
    }
  }

  /** Skips the current value, with all that is nested in it. */
  private void skip() throws IOException {
    int depth = in.currentToken() != null && in.currentToken().isStructStart() ? 1 : 0;
    while (depth > 0) {
      JsonToken token = in.nextToken();
      check(token != null);
      if (token.isStructStart()) {
        depth++;
      } else if (token.isStructEnd()) {
        depth--;
      }
      check(depth < MAX_DEPTH);
    }
  }

  private long nextNumber(long min, long max) throws IOException {
    in.nextToken();
    return number(min, max);
  }

  private String nextText(int maxLength) throws IOException {
    in.nextToken();
    return text(maxLength);
  }

  private long number(long min, long max) throws IOException {
    check(in.currentToken() == JsonToken.VALUE_NUMBER_INT);
    long number = in.getLongValue();
    check(number >= min && number <= max);
    return number;
  }

  private String text(int maxLength) throws IOException {
    check(in.currentToken() == JsonToken.VALUE_STRING);
    String text = in.getText();
    check(text.length() <= maxLength);
    check(text.chars().allMatch(c -> c > ' ' && c < DELETE));
    return text;
  }

  private static void check(boolean isWellFormed) throws IOException {
    if (!isWellFormed) {
      throw new IOException("malformed packet");
    }
  }
}
