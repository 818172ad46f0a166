package dillcross.cli;

import static dillcross.cli.HttpMessages.exchange;
import static dillcross.cli.HttpMessages.readResponse;
import static dillcross.cli.HttpMessages.send;
import static dillcross.cli.HttpMessages.statusOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Covers how the configuration is read at the start and after SIGHUP; see {@link ServeCommand}. */
class ReloadIT extends SidecarFixture {
  /** A reload keeps open connections, and asks the new discovery service for a complete list. */
  @Test
  void reloadMovesDiscoveryAndIgnoresInvalidFiles() throws Exception {
    TestDiscovery newDiscovery = open(new TestDiscovery());
    startWithEndpointA();
    Socket socket = connect();
    assertEquals("200", statusOf(exchange(socket, request("/read/before"))));
    awaitConnectionReuse();
    sendAndAwaitArrival(socket, "/buy/slow");

    String config = Files.readString(configFile());
    for (String invalid : invalidVariants(config, newDiscovery.address())) {
      reload(config, invalid);
      sidecar.awaitLogLine("keeping the old one");
      Files.writeString(configFile(), config);
    }
    reload(discovery.address(), newDiscovery.address());
    sidecar.awaitLogLine("discovery moved to " + newDiscovery.address());
    discovery.close();
    replaceAByB(newDiscovery);

    assertTrue(
        newDiscovery.requests.get(0).contains("since=0"),
        "versions of the new service may differ: " + newDiscovery.requests);
    assertEquals("200", statusOf(readResponse(socket)), "the open request is answered");
    for (int i = 0; i < 10; i++) {
      assertEquals("200", statusOf(exchange(socket, request("/read/after"))));
    }
    assertEquals(10, endpointB.requestCounts.get("/read/after"));
    reload("\"seed\"", "\"seed\"");
    sidecar.awaitLogLine("discovery still at " + newDiscovery.address());
    assertEquals(1, endpointA.acceptedConnections.get(), "no connection was closed");
  }

  private List<String> invalidVariants(String config, String newDiscoveryAddress) {
    return List.of(
        "",
        "{\"discovery\":\"x\"}",
        "\"seed\":\"1f\"",
        "soon",
        config.substring(0, config.length() / 2),
        config
            .replace("\"ttl_ms\":2000", "\"ttl_ms\":0")
            .replace(discovery.address(), newDiscoveryAddress),
        config
            .replace("\"benefit\":1", "\"gain\":1")
            .replace(discovery.address(), newDiscoveryAddress));
  }

  /**
   * Requests that are in flight during a reload get one response each, and none is executed twice.
   */
  @Test
  void reloadChangesSettingsBackAndForth() throws Exception {
    String pay =
        "{\"name\":\"pay\",\"effect\":\"at_most_once\",\"target_latency_ms\":400,"
            + "\"ttl_ms\":2000,\"benefit\":1}";
    startAndAwaitReady(new TestConfig(entryOfA(), entryOfB()).requestClass(pay));
    String oldConfig = Files.readString(configFile());
    String newConfig =
        oldConfig
            .replace("\"name\":\"read\"", "\"name\":\"view\"")
            .replace("\"may_duplicate\":true", "\"may_duplicate\":false")
            .replace(
                "\"locality\"",
                "\"weight_source\":\"live\",\"discovery\":\"automatic\",\"locality\"");

    reloadWithRequestsInFlight(oldConfig, newConfig, "/read/slow");
    assertEquals("404", statusOfNewClient(request("/read/ok")), "the class was removed");
    assertEquals("200", statusOfNewClient(request("/pay/ok")));
    reloadWithRequestsInFlight(newConfig, oldConfig, "/view/slow");
    assertEquals("200", statusOfNewClient(request("/read/ok")), "the class was added again");
    assertEquals("200", statusOfNewClient(request("/pay/ok")));

    reload("\"idempotent\"", "\"sometimes\"");
    sidecar.awaitLogLine("effect: unknown word: sometimes");
    assertEquals("200", statusOfNewClient(request("/read/ok")), "an invalid file changes nothing");
    Files.writeString(configFile(), oldConfig);
    reload("\"sockets\":256", "\"sockets\":300");
    sidecar.awaitLogLine(
        "settings unchanged; discovery still at "
            + discovery.address()
            + "; not applied until a restart: limits");
  }

  private void reloadWithRequestsInFlight(String config, String nextConfig, String idempotentPath)
      throws Exception {
    long receivedBefore = countReceivedOnce("/pay/slow", endpointA, endpointB);
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      Socket client = connect();
      clients.add(client);
      send(client, request(i % 2 == 0 ? "/pay/slow" : idempotentPath));
    }
    await(() -> countReceivedOnce("/pay/slow", endpointA, endpointB) > receivedBefore);
    awaitClientInputRead(); // a request of a removed class that is read later is answered 404

    reload(config, nextConfig);
    sidecar.awaitLogLine("settings changed");

    for (Socket client : clients) {
      assertTrue(
          List.of("200", "502", "503").contains(statusOf(readResponse(client))),
          "one response each");
      assertEquals(0, client.getInputStream().available(), "no second response");
    }
    countReceivedOnce("/pay/slow", endpointA, endpointB);
  }

  @Test
  void namesTheInvalidKey() throws Exception {
    start(
        new TestConfig(entryOfA()).replace("\"ask_within_ms\":600", "\"ask_within_ms\":\"often\""));

    assertEquals(2, sidecar.process.waitFor());
    String log = String.join("\n", sidecar.remainingLog());
    assertTrue(log.contains("settings.rules.ask_within_ms"), log);
  }
}
