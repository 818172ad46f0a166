package dillcross.net;

import static dillcross.net.VirtualSidecar.chunk;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Covers the order in which requests of many clients are read; see {@code ClientReadScheduler}. The
 * test runs each iteration of the event loop itself.
 */
class LargeRequestsTest {
  private static final int CROWD = 12;
  private static final int MAX_READS = 4; // of large requests, in one iteration
  private static final int LARGE_CROWD = 240; // more than are read in 1.4 s of virtual time
  private static final int CHUNK_BYTES = 1000;
  private static final String SMALL_BODY = "abc";

  private final VirtualSidecar sidecar;

  LargeRequestsTest() throws Exception {
    sidecar = new VirtualSidecar();
  }

  /** Guards against: an iteration lasts as long as it takes to read all large requests. */
  @Test
  void readsFewLargeRequestsInOneIteration() {
    List<FakeNetwork.FakeChannel> crowd = sendLargeMalformedRequests(CROWD);

    assertEquals(0, countAnswered(crowd, "400"));
    for (int answered = MAX_READS; answered <= CROWD; answered += MAX_READS) {
      sidecar.network.iterate();
      assertEquals(MAX_READS, countAnswered(crowd, "400"), "they are read in turn");
    }
  }

  /** Guards against: a small request waits behind large ones, in one piece or in several. */
  @Test
  void readsSmallRequestsAtOnce() {
    List<FakeNetwork.FakeChannel> crowd = sendLargeMalformedRequests(CROWD);
    FakeNetwork.FakeChannel whole = sidecar.connect();
    FakeNetwork.FakeChannel inPieces = sidecar.connect();

    whole.receive(sidecar.get().replace("/read/", "/unknown/"));
    String post = sidecar.post(SMALL_BODY.length()).replace("/once/", "/unknown/") + SMALL_BODY;
    post.chars().forEach(piece -> inPieces.receive(String.valueOf((char) piece)));

    assertEquals(2, countAnswered(List.of(whole, inPieces), "404"));
    assertEquals(0, countAnswered(crowd, "400"));
  }

  /** Guards against: a client waits for as long as the requests before it take to be read. */
  @Test
  void rejectsLargeRequestsThatWaitTooLong() {
    List<FakeNetwork.FakeChannel> crowd = sendLargeMalformedRequests(LARGE_CROWD);

    sidecar.advance(1400);

    List<String> statuses =
        crowd.stream().map(client -> client.takeWritten().split(" ", 3)[1]).sorted().toList();
    int rejected = LARGE_CROWD - statuses.indexOf("503");
    assertTrue(rejected > LARGE_CROWD / 2 && rejected < LARGE_CROWD, "rejected: " + rejected);
    assertEquals("400", statuses.get(LARGE_CROWD - rejected - 1), "the first ones were read");
  }

  /** Guards against: a large request is forgotten because its client disconnects before it. */
  @Test
  void forgetsClientsThatDisconnect() {
    List<FakeNetwork.FakeChannel> crowd = sendLargeMalformedRequests(CROWD);

    crowd.subList(0, CROWD - 1).forEach(FakeNetwork.FakeChannel::fail);
    sidecar.network.iterate();

    assertEquals(1, countAnswered(crowd, "400"));
    assertEquals(0, sidecar.failedIterations());
  }

  /** Chunked requests that prove to be malformed when all of them has been read. */
  private List<FakeNetwork.FakeChannel> sendLargeMalformedRequests(int count) {
    List<FakeNetwork.FakeChannel> clients = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      FakeNetwork.FakeChannel client = sidecar.connect();
      client.receive(sidecar.postChunked() + chunk(CHUNK_BYTES).repeat(20) + "malformed\r\n");
      clients.add(client);
    }
    return clients;
  }

  /** The number of clients that got an answer since the last call; it must have this status. */
  private static int countAnswered(List<FakeNetwork.FakeChannel> clients, String status) {
    int count = 0;
    for (FakeNetwork.FakeChannel client : clients) {
      String written = client.takeWritten();
      if (!written.isEmpty()) {
        assertTrue(written.startsWith("HTTP/1.1 " + status), written);
        count++;
      }
    }
    return count;
  }
}
