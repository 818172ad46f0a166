package dillcross.emulator.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** The simulated peers' own HTTP reader and writer. */
class HttpStreamReaderTest {
  private final HttpStreamReader reader = new HttpStreamReader();

  private void add(String text, long sentUs) {
    reader.add(text.getBytes(StandardCharsets.ISO_8859_1), sentUs);
  }

  @Test
  void readsMessageThatArrivesByteByByte() {
    byte[] message =
        HttpStreamReader.message(
            "GET /a HTTP/1.1", HttpStreamReader.body("id ", 5), false, "Some-Field", "v");
    for (int i = 0; i < message.length; i++) {
      assertFalse(reader.isComplete());
      reader.add(new byte[] {message[i]}, i);
    }
    assertTrue(reader.isComplete());
    assertEquals("/a", reader.startLineWord(1));
    assertEquals("v", reader.field("some-field"));
    assertEquals(5, reader.bodyLength());
    assertEquals("id xx", reader.bodyStart());
    assertEquals(0, reader.headSentUs());
  }

  @Test
  void readsChunksWhateverTheirSizes() {
    reader.add(
        HttpStreamReader.message("HTTP/1.1 200 x", HttpStreamReader.body("id ", 15_000), true), 1);
    assertTrue(reader.isComplete());
    assertEquals(15_000, reader.bodyLength());
    assertEquals(96, reader.bodyStart().length());
  }

  @Test
  void waitsForTheLineAfterTheLastChunk() {
    add("HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", 1);
    assertFalse(reader.isComplete());
    add("\r\n", 2);
    assertTrue(reader.isComplete());
    assertEquals("a", reader.bodyStart());
  }

  @Test
  void neverCompletesMalformedChunkSize() {
    add("HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n0\r\n\r\n", 1);
    assertFalse(reader.isComplete());
  }

  @Test
  void skipsInterimResponse() {
    add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n", 1);
    assertTrue(reader.isComplete());
    assertEquals("200", reader.startLineWord(1));
  }

  @Test
  void readsPipelinedMessagesOneAtATime() {
    add("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n", 1);
    assertEquals("/1", reader.startLineWord(1));
    assertTrue(reader.unreadByteCount() > 0);
    reader.startNextMessage();
    assertEquals("/2", reader.startLineWord(1));
    reader.startNextMessage();
    assertTrue(reader.isEmpty());
  }
}
