package dillcross.cli;

import java.util.ArrayList;
import java.util.List;

/**
 * The configuration file of a sidecar under test, as JSON. Unless a test changes it, it has the
 * request classes "read" (idempotent) and "buy" (deduplicated within a cell), both with deadlines
 * of 2 s.
 */
final class TestConfig {
  private final List<String> endpoints;
  private final List<String> replacements = new ArrayList<>();
  private int maxSockets = 256;

  /** Creates a configuration with these list entries of endpoints; see {@link TestDiscovery}. */
  TestConfig(String... endpoints) {
    this.endpoints = List.of(endpoints);
  }

  /** Sets the maximum number of sockets that the sidecar may open. */
  TestConfig maxSockets(int maxSockets) {
    this.maxSockets = maxSockets;
    return this;
  }

  /** Sets the maximum deadline of each request class, in ms. */
  TestConfig timeoutMs(int timeoutMs) {
    return replace("\"ttl_ms\":2000", "\"ttl_ms\":" + timeoutMs);
  }

  /** Sets the latency objective of each request class, in ms. */
  TestConfig latencyObjectiveMs(int objectiveMs) {
    return replace("\"target_latency_ms\":400", "\"target_latency_ms\":" + objectiveMs);
  }

  /** Sets the timeout for connecting to an endpoint, in ms. */
  TestConfig connectTimeoutMs(int timeoutMs) {
    return replace("\"connect_timeout_ms\":250", "\"connect_timeout_ms\":" + timeoutMs);
  }

  /** Sets the time in ms for which endpoints keep idle connections open. */
  TestConfig keepAliveMs(int keepAliveMs) {
    return replace("\"keepalive_ms\":9000", "\"keepalive_ms\":" + keepAliveMs);
  }

  /** Sets whether the sidecar may cancel attempts that are in flight. */
  TestConfig cancellable(boolean cancellable) {
    return replace("\"cancel\":true", "\"cancel\":" + cancellable);
  }

  /** Sets the number of sidecars that share the endpoints. */
  TestConfig instanceCount(int instanceCount) {
    return replace("\"balancers\":1", "\"balancers\":" + instanceCount);
  }

  /** Makes discovery push the endpoint list; without this, the sidecar polls it. */
  TestConfig pushedEndpointList() {
    return replace("\"locality\"", "\"discovery\":\"automatic\",\"locality\"");
  }

  /** Opens the admin endpoint at this address; port 0 stands for any free port. */
  TestConfig adminAddress(String address) {
    return replace("\"seed\"", "\"admin_addr\":\"" + address + "\",\"seed\"");
  }

  /** Adds a request class, given as JSON, before the others. */
  TestConfig requestClass(String json) {
    return replace("\"categories\":[", "\"categories\":[" + json + ",");
  }

  /** Replaces a part of the file, for instance to make a value invalid. */
  TestConfig replace(String target, String replacement) {
    replacements.add(target);
    replacements.add(replacement);
    return this;
  }

  /** The content of the file, for a sidecar that uses the discovery service at this address. */
  String toJson(String discoveryAddress) {
    String json =
        "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
            + discoveryAddress
            + "\",\"seed\":\"1f\","
            + "\"limits\":{\"sockets\":"
            + maxSockets
            + "},\"known\":{\"version\":1,\"full\":true,\"servers\":["
            + String.join(",", endpoints)
            + "]},"
            + "\"settings\":{\"locality\":\"east\",\"balancers\":1,\"categories\":["
            + "{\"name\":\"read\",\"effect\":\"idempotent\","
            + "\"target_latency_ms\":400,\"ttl_ms\":2000,\"benefit\":1},"
            + "{\"name\":\"buy\",\"effect\":\"deduplicated\",\"key_scope\":\"cell\","
            + "\"window_ms\":2000,\"target_latency_ms\":400,\"ttl_ms\":2000,\"benefit\":1}],"
            + "\"limits\":{\"max_pushes\":3,\"may_duplicate\":true,\"cancel\":true,"
            + "\"connect_timeout_ms\":250,\"keepalive_ms\":9000},"
            + "\"rules\":{\"ask_within_ms\":600}}}";
    for (int i = 0; i < replacements.size(); i += 2) {
      json = json.replace(replacements.get(i), replacements.get(i + 1));
    }
    return json;
  }
}
