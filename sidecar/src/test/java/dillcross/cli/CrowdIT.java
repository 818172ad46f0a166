package dillcross.cli;

import static dillcross.cli.HttpMessages.chunk;
import static dillcross.cli.HttpMessages.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Covers a crowd of clients with large requests that connect just before a usual client. */
class CrowdIT extends CrossingFixture {
  private static final int CROWD = 45; // each leaves a line in the log, which takes 50 at once
  private static final int CHUNKS = 65;
  private static final int CHUNK_BYTES = 1000;
  private static final String CROWD_LINE = "request invalid: status=400";
  private static final String USUAL_LINE = "request invalid: status=404";

  /** Guards against: a client waits to be accepted until all before it were accepted and read. */
  @Test
  void answersSmallRequestBeforeLargeOnesThatConnectedEarlier() throws Exception {
    startWithEndpointA();

    whileSuspended(
        () -> {
          for (int i = 0; i < CROWD; i++) {
            send(connect(), largeMalformedRequest());
          }
          send(connect(), request("/unknown/x"));
        });

    int crowdBefore = 0;
    String line = sidecar.awaitLogLine("request invalid");
    while (!line.contains(USUAL_LINE)) {
      assertTrue(line.contains(CROWD_LINE), line);
      crowdBefore++;
      line = sidecar.awaitLogLine("request invalid");
    }
    assertEquals(0, crowdBefore, "large requests that were read before the small one");
    awaitCrowd();
  }

  private void awaitCrowd() throws IOException {
    for (int i = 0; i < CROWD; i++) {
      assertTrue(sidecar.awaitLogLine("request invalid").contains(CROWD_LINE));
    }
  }

  /** A chunked request that proves to be malformed when all of it has been read. */
  private String largeMalformedRequest() {
    return withChunks(request("/buy/ok"), chunk(CHUNK_BYTES).repeat(CHUNKS) + "malformed\r\n");
  }
}
