package dillcross.cli;

import static dillcross.cli.HttpMessages.exchange;
import static dillcross.cli.HttpMessages.response;
import static dillcross.cli.HttpMessages.statusOf;
import static dillcross.cli.TestDiscovery.terminated;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Covers how the sidecar follows the endpoint list, and calls to discovery that fail; see {@link
 * dillcross.net.discovery.DiscoveryClient}.
 */
class EndpointListIT extends SidecarFixture {
  @Test
  void usesNewEndpointsAndNoDrainingOnes() throws Exception {
    startWithEndpointA();
    Socket socket = connect();
    assertEquals("200", statusOf(exchange(socket, request("/read/before"))));

    replaceAByB(discovery);

    int before = endpointA.requests.size();
    for (int i = 0; i < 20; i++) {
      assertEquals("200", statusOf(exchange(socket, request("/read/after"))));
    }
    assertEquals(before, endpointA.requests.size());
    assertEquals(20, endpointB.requestCounts.get("/read/after"));
  }

  @Test
  @Timeout(18)
  void repeatsWatchThatGetsNoReply() throws Exception {
    discovery.scriptedReplies.add(TestDiscovery.SILENCE);
    startWithEndpointA();

    discovery.publishAndAwait(entryOfB(), terminated("a", endpointA.address()));

    assertEquals("200", statusOfNewClient(request("/read/after")));
    assertEquals(1, endpointB.requestCounts.get("/read/after"));
  }

  /** Discovery is overloaded, closes the connection or sends invalid lists for a while. */
  @Test
  void keepsLastListWhileDiscoveryIsUnavailable() throws Exception {
    discovery.scriptedReplies.addAll(
        List.of(
            response(503, "", ""),
            response(200, "", "{\"version\":"),
            "",
            response(200, "", "{\"version\":2,\"servers\":[{}]}")));
    startWithEndpointA();
    assertEquals("200", statusOfNewClient(request("/read/before")));

    discovery.publishAndAwait(entryOfB(), terminated("a", endpointA.address()));

    assertTrue(discovery.scriptedReplies.isEmpty());
    assertEquals("200", statusOfNewClient(request("/read/after")));
    assertEquals(1, endpointB.requestCounts.get("/read/after"));
  }
}
