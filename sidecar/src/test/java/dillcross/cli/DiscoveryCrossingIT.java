package dillcross.cli;

import static dillcross.cli.HttpMessages.exchange;
import static dillcross.cli.HttpMessages.response;
import static dillcross.cli.HttpMessages.statusOf;
import static dillcross.cli.TestDiscovery.inService;
import static dillcross.cli.TestDiscovery.terminating;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Covers calls to discovery that cross with failures, with a change of its address, and with the
 * start of the sidecar; see {@link dillcross.net.discovery.DiscoveryClient}.
 */
class DiscoveryCrossingIT extends CrossingFixture {
  /** Less than the 2 s after which a connection without a request may be closed. */
  private static final int KEEP_IN_USE_INTERVAL_MS = 400;

  /**
   * A second reply to one call must not be read as the reply to the next call; that reply reports
   * that an endpoint drains, which must not be missed.
   */
  @Test
  void ignoresSecondReplyToOneCall() throws Exception {
    String unchanged = response(200, "", "{\"version\":1,\"full\":false,\"servers\":[]}");
    discovery.scriptedReplies.add(unchanged + unchanged);
    startWithEndpointA();
    await(() -> discovery.scriptedReplies.isEmpty());

    replaceAByB(discovery);

    assertEquals("200", statusOfNewClient(request("/read/after")));
    assertEquals(1, endpointB.requestCounts.get("/read/after"));
    assertEquals(2, discovery.acceptedConnections.get(), "the next call has a new connection");
  }

  /**
   * The sidecar waits for the first list from discovery before it is ready, as the list in its
   * configuration may be outdated.
   */
  @Test
  void awaitsFirstPushedListBeforeItIsReady() throws Exception {
    String list =
        "{\"version\":9,\"full\":true,\"servers\":["
            + entryOfB()
            + ","
            + terminating("a", endpointA.address())
            + "]}";
    discovery.scriptedReplies.add(TestDiscovery.delayed(response(200, "", list)));

    startAndAwaitReady(new TestConfig(entryOfA()).pushedEndpointList());

    assertEquals("200", statusOfNewClient(request("/read/x")));
    assertEquals(0, endpointA.requests.size());
    assertEquals(1, endpointB.requests.size());
    assertTrue(
        discovery.requests.get(0).contains("since=0"),
        "the complete list is requested: " + discovery.requests);
  }

  @Test
  void becomesReadyWithoutReplyFromDiscovery() throws Exception {
    discovery.scriptedReplies.add(TestDiscovery.SILENCE);

    startAndAwaitReady(new TestConfig(entryOfA()).pushedEndpointList());

    assertEquals("200", statusOfNewClient(request("/read/x")));
  }

  /** Idle clients use up the descriptors while discovery is unavailable. */
  @Test
  void reachesDiscoveryWhenIdleClientsUseAllDescriptors() throws Exception {
    for (int i = 0; i < 12; i++) {
      discovery.scriptedReplies.add(response(503, "Connection: close\r\n", ""));
    }
    start(new TestConfig(entryOfA()), List.of("prlimit", "--nofile=256:256"), Map.of());
    sidecar.awaitReady();
    Socket regular = connect();
    for (int i = 0; i < 3; i++) { // a client with a single request may be disconnected
      assertEquals("200", statusOf(exchange(regular, request("/read/before"))));
    }
    for (int i = 0; i < 400; i++) {
      connect();
      if (i % 8 == 0) { // a connection without a request for 2 s may be closed
        assertEquals("200", statusOf(exchange(regular, request("/read/meanwhile"))));
      }
    }
    assertFalse(discovery.scriptedReplies.isEmpty(), "discovery is still unavailable");

    discovery.publish(entryOfB(), terminating("a", endpointA.address()));
    do { // calls that discovery rejects are repeated after up to 2.5 s
      assertEquals("200", statusOf(exchange(regular, request("/read/meanwhile"))));
    } while (!discovery.awaitReceived(KEEP_IN_USE_INTERVAL_MS));

    assertEquals("200", statusOf(exchange(regular, request("/read/after"))));
    assertEquals(1, endpointB.requestCounts.get("/read/after"));
  }

  /**
   * Discovery sends an indented list of 1024 endpoints, which 1024 sidecars share; the list after
   * that is longer than permitted and must be ignored.
   */
  @Test
  void acceptsLongListAndKeepsItWhenNextIsTooLong() throws Exception {
    String longest = response(200, "", indentedList(7, 1024, endpointB.address()));
    assertTrue(longest.length() > 200_000, "length " + longest.length());
    discovery.scriptedReplies.add(longest);
    startAndAwaitReady(
        new TestConfig(entryOfA())
            .instanceCount(1024)
            .pushedEndpointList()
            .replace("\"max_pushes\":3", "\"max_pushes\":1")); // no hedge is to be counted
    for (int i = 0; i < 20; i++) {
      assertEquals("200", statusOfNewClient(request("/read/x")));
    }
    assertEquals(20, endpointB.requestCounts.get("/read/x"));

    discovery.scriptedReplies.add(response(200, "", indentedList(8, 8000, endpointA.address())));
    discovery.publish(""); // ends the open watch, and the next call gets the long list
    sidecar.awaitLogLine("endpoint list larger than 1048576 bytes, keeping the last one");

    assertEquals("200", statusOfNewClient(request("/read/x")));
    assertEquals(0, endpointA.requests.size());
  }

  private static String indentedList(int version, int count, String address) {
    String entries =
        IntStream.range(0, count)
            .mapToObj(i -> inService("s-" + i + "-of-a-long-name-0123456789abcdef", address))
            .map(DiscoveryCrossingIT::indent)
            .collect(Collectors.joining(",\n"));
    return "{\n  \"version\": "
        + version
        + ",\n  \"full\": true,\n  \"servers\": [\n"
        + entries
        + "\n  ]\n}\n";
  }

  private static String indent(String entry) {
    return "    "
        + entry
            .replace("{", "{\n      ")
            .replace(",", ",\n      ")
            .replace("\":", "\": ")
            .replace("}", "\n    }");
  }

  /**
   * After a failed call, or at a new address, discovery must not hold the next call open for long:
   * the sidecar may have missed changes that it is soon assumed to know.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void callsWithShortTimeoutAfterFailureOrMove(boolean moves) throws Exception {
    TestDiscovery newDiscovery = open(new TestDiscovery());
    if (!moves) {
      discovery.scriptedReplies.add(response(503, "", ""));
    }
    startWithEndpointA();
    await(() -> discovery.requests.size() >= (moves ? 1 : 2));
    if (moves) {
      discovery.publishAndAwait(entryOfA()); // from then on the sidecar's calls are watches
      reload(discovery.address(), newDiscovery.address());
      sidecar.awaitLogLine("discovery moved to " + newDiscovery.address());
      await(() -> !newDiscovery.requests.isEmpty());
    }

    String lastCall = discovery.requests.get(discovery.requests.size() - 1);
    assertTrue(!moves || lastCall.contains("timeout_ms=1500"), "" + discovery.requests);
    String firstCallAfter = moves ? newDiscovery.requests.get(0) : discovery.requests.get(1);
    assertTrue(
        firstCallAfter.contains("timeout_ms=250"),
        discovery.requests + " " + newDiscovery.requests);
  }
}
