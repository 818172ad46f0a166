package dillcross.cli;

import static dillcross.cli.HttpMessages.send;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Covers the memory of two processes, one of which replaces the other. */
class UpgradeMemoryIT extends UpgradeFixture {
  private static final int MEMORY_MB = 160;
  private static final int CROWD = 150; // at each process
  private static final int CROWD_MS = 2000;

  /** Guards against: two processes together go over the limit that is configured for a sidecar. */
  @Test
  void bothProcessesStayWithinTheLimit() throws Exception {
    startFirstProcess(
        new TestConfig(entryOfA())
            .maxSockets(512)
            .replace("{\"sockets\"", "{\"memory_mb\":" + MEMORY_MB + ",\"sockets\""));
    List<Socket> crowd = new ArrayList<>(connectCrowd());
    Thread.sleep(CROWD_MS);
    ProcessHandle second = startSecondProcess();
    crowd.addAll(connectCrowd());
    Thread.sleep(CROWD_MS);

    int peakMb =
        (SidecarProcess.peakMemoryKilobytes(firstProcess())
                + SidecarProcess.peakMemoryKilobytes(second))
            >> 10;
    assertTrue(peakMb <= MEMORY_MB, "peak memory of both: " + peakMb + " MB");
    for (Socket client : crowd) {
      client.close();
    }
  }

  private List<Socket> connectCrowd() throws IOException {
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < CROWD; i++) {
      Socket client = connect(clientPort);
      clients.add(client);
      try {
        send(client, withBody(request("/buy/ok"), 30_000_000, "x".repeat(500_000)));
      } catch (IOException refused) {
        client.close(); // the sidecar may refuse the request before all of it was sent
      }
    }
    return clients;
  }
}
