package dillcross.cli;

import static dillcross.cli.HttpMessages.readHead;
import static dillcross.cli.HttpMessages.readResponse;
import static dillcross.cli.HttpMessages.send;
import static dillcross.cli.HttpMessages.statusOf;
import static dillcross.cli.TestDiscovery.inService;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.Test;

/**
 * Covers peers that read 64 kB a second out of the full buffer of a real kernel, which reports
 * space only once about a third of the buffer is free; see {@link
 * dillcross.net.transport.TransportChannel#retryWrite}.
 */
class SlowPeersIT extends SidecarFixture {
  private static final int READERS = 10;
  private static final int SIZE_STEP_BYTES = 200_000;
  private static final int SLOW_READ_MS = 24_000;
  private static final int UNREAD_MS = 25_000; // the sidecar cuts after 20 s
  private static final int START_INTERVAL_MS = 150; // a new endpoint gets no crowd at once
  private static final int SLOW_READ_AFTER_STOP_MS = 5_000; // longer than the stop takes
  private static final int UPLOADS = 5;
  private static final int SLOW_UPLOAD_MS = 7_000; // more than the sidecar waits without progress

  /** Guards against: a client that reads all the time is cut off, as its kernel reports late. */
  @Test
  void servesClientsThatReadSlowlyAndCutsThatReadsNothing() throws Exception {
    LargeBodyEndpoint endpoint = open(new LargeBodyEndpoint(0));
    startAndAwaitReady(new TestConfig(inService("large", endpoint.address())));
    int bufferBytes = KernelBuffers.largestSendBuffer();
    ExecutorService threads = Executors.newCachedThreadPool();
    List<CompletableFuture<Integer>> missing = new ArrayList<>();
    for (int i = 0; i < READERS; i++) {
      // The shorter answers end in the sidecar's own buffer, the longer wait for the kernel.
      int bodyBytes = i < 2 ? 3 * bufferBytes : bufferBytes + i * SIZE_STEP_BYTES;
      missing.add(CompletableFuture.supplyAsync(() -> missingAfterSlowRead(bodyBytes), threads));
      Thread.sleep(START_INTERVAL_MS);
    }
    Socket unread = connect();
    send(unread, request("/read/" + 3 * bufferBytes));
    Thread.sleep(UNREAD_MS);

    for (int i = 0; i < READERS; i++) {
      assertEquals(0, missing.get(i).get(), "bytes that reader " + i + " did not get");
    }
    readHead(unread.getInputStream());
    assertTrue(
        unread.getInputStream().readAllBytes().length < 3 * bufferBytes,
        "a client that reads nothing is cut off");
    threads.shutdown();
  }

  /** Reads an answer slowly at first; returns how many bytes are missing at its end. */
  private int missingAfterSlowRead(int bodyBytes) {
    try {
      Socket client = connect();
      send(client, request("/read/" + bodyBytes));
      InputStream in = client.getInputStream();
      assertEquals("200", statusOf(readHead(in)));
      return bodyBytes - SlowReading.read(in, bodyBytes, SLOW_READ_MS);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  /** Guards against: a planned stop cuts an answer of which the kernel has all. */
  @Test
  void deliversWhatTheKernelHoldsAfterPlannedStop() throws Exception {
    LargeBodyEndpoint endpoint = open(new LargeBodyEndpoint(0));
    startAndAwaitReady(new TestConfig(inService("large", endpoint.address())));
    int bodyBytes = KernelBuffers.largestSendBuffer() / 4;
    Socket client = connect();
    send(client, request("/read/" + bodyBytes));
    assertEquals("200", statusOf(readHead(client.getInputStream())));

    sidecar.signal("TERM");
    int taken = SlowReading.read(client.getInputStream(), bodyBytes, SLOW_READ_AFTER_STOP_MS);

    assertEquals(bodyBytes, taken);
    assertTrue(sidecar.exitsInTime());
  }

  /** Guards against: a body is given up as stalled while its endpoint reads it all the time. */
  @Test
  void forwardsBodiesToEndpointThatReadsSlowly() throws Exception {
    LargeBodyEndpoint endpoint = open(new LargeBodyEndpoint(SLOW_UPLOAD_MS));
    startAndAwaitReady(new TestConfig(inService("large", endpoint.address())));
    int bodyBytes = 3 * KernelBuffers.largestSendBuffer();
    ExecutorService threads = Executors.newCachedThreadPool();
    List<CompletableFuture<String>> statuses = new ArrayList<>();
    for (int i = 0; i < UPLOADS; i++) {
      statuses.add(CompletableFuture.supplyAsync(() -> statusOfUpload(bodyBytes), threads));
      Thread.sleep(START_INTERVAL_MS);
    }

    for (CompletableFuture<String> status : statuses) {
      assertEquals("200", status.get());
    }
    threads.shutdown();
  }

  private String statusOfUpload(int bodyBytes) {
    try {
      Socket client = connect();
      send(client, withBody(request("/buy/ok"), bodyBytes, "x".repeat(bodyBytes)));
      return statusOf(readResponse(client));
    } catch (IOException e) {
      return "closed: " + e;
    }
  }
}
