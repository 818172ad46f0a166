package dillcross.fleet;

import com.fasterxml.jackson.jr.ob.JSON;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Test endpoints and an endpoint list service, run inside this process. Each endpoint takes a
 * configurable time per request and fails on demand.
 */
final class StandInServices implements AutoCloseable {
  /**
   * An HTTP server that answers with 200 after {@code workMs}; with 500 after 1 ms while {@code
   * fails}.
   */
  static final class Endpoint {
    final String id;
    final String zone;
    final AtomicLong attempts = new AtomicLong();
    private final HttpServer server;
    volatile long workMs;
    volatile boolean fails;

    private Endpoint(String id, String zone, long workMs, ExecutorService threads)
        throws IOException {
      this.id = id;
      this.zone = zone;
      this.workMs = workMs;
      server = server(threads);
      server.createContext("/", this::answer);
      server.start();
    }

    private void answer(HttpExchange exchange) throws IOException {
      try (exchange) {
        exchange.getRequestBody().readAllBytes();
        attempts.incrementAndGet();
        try {
          Thread.sleep(fails ? 1 : workMs);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
        byte[] body = (fails ? "failed" : "done by " + id).getBytes(StandardCharsets.US_ASCII);
        exchange.sendResponseHeaders(fails ? 500 : 200, body.length);
        exchange.getResponseBody().write(body);
      }
    }
  }

  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "stand-in");
            thread.setDaemon(true);
            return thread;
          });
  private final HttpServer sharedListServer = server(threads);
  final List<Endpoint> endpoints = new ArrayList<>();

  // Both maps hold only the sidecars for which listFor was called.
  private final Map<Integer, Map<Endpoint, TcpFaultProxy>> proxiesBySidecar =
      new ConcurrentHashMap<>();
  private final Map<Integer, HttpServer> listServers = new ConcurrentHashMap<>();

  // The start time of all endpoints in the list: 10 minutes ago, so that slow start is over.
  private final long startedMs = System.currentTimeMillis() - 600_000;

  StandInServices(int count, List<String> zones, long workMs) throws IOException {
    for (int i = 0; i < count; i++) {
      endpoints.add(new Endpoint("e" + i, zones.get(i % zones.size()), workMs, threads));
    }
    sharedListServer.createContext("/v1/servers", exchange -> watch(exchange, -1));
    sharedListServer.start();
  }

  private static HttpServer server(ExecutorService threads) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
    server.setExecutor(threads);
    return server;
  }

  /** The {@code host:port} of the list service that lists the endpoints directly. */
  String listAddress() {
    return "127.0.0.1:" + sharedListServer.getAddress().getPort();
  }

  /**
   * Starts a list service for one sidecar, which lists each endpoint behind a proxy of its own.
   *
   * @return the {@code host:port} of the list service
   */
  String listFor(int sidecar) throws IOException {
    Map<Endpoint, TcpFaultProxy> proxies = new LinkedHashMap<>();
    for (Endpoint endpoint : endpoints) {
      proxies.put(
          endpoint, new TcpFaultProxy("127.0.0.1:" + endpoint.server.getAddress().getPort()));
    }
    proxiesBySidecar.put(sidecar, proxies);
    HttpServer server = server(threads);
    server.createContext("/v1/servers", exchange -> watch(exchange, sidecar));
    server.start();
    listServers.put(sidecar, server);
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** The proxy between the sidecar and the endpoint; requires {@link #listFor} for the sidecar. */
  TcpFaultProxy proxy(int sidecar, Endpoint endpoint) {
    return proxiesBySidecar.get(sidecar).get(endpoint);
  }

  /**
   * Answers a watch request: with the full list if the client has none yet; otherwise with an empty
   * change, after the client's timeout or 20 s, as the list never changes.
   *
   * @param sidecar the sidecar whose proxies to list; -1 to list the endpoints directly
   */
  private void watch(HttpExchange exchange, int sidecar) throws IOException {
    try (exchange) {
      String query = String.valueOf(exchange.getRequestURI().getQuery());
      boolean first = query.contains("since=0") || !query.contains("since=");
      List<Object> servers = new ArrayList<>();
      if (first) {
        for (Endpoint endpoint : endpoints) {
          Map<String, Object> row = new LinkedHashMap<>();
          row.put("id", endpoint.id);
          row.put(
              "addr",
              sidecar < 0
                  ? "127.0.0.1:" + endpoint.server.getAddress().getPort()
                  : proxy(sidecar, endpoint).address());
          row.put("zone", endpoint.zone);
          row.put("kind", "small");
          row.put("cell", 0);
          row.put("state", "in_service");
          row.put("weight", 1.0);
          row.put("started_ms", startedMs);
          servers.add(row);
        }
      } else {
        try {
          Thread.sleep(
              Math.min(20_000, Long.parseLong(query.replaceAll(".*timeout_ms=([0-9]+).*", "$1"))));
        } catch (InterruptedException | NumberFormatException e) {
          Thread.currentThread().interrupt();
        }
      }
      byte[] body =
          JSON.std
              .asString(Map.of("version", 1, "full", first, "servers", servers))
              .getBytes(StandardCharsets.UTF_8);
      exchange.sendResponseHeaders(200, body.length);
      exchange.getResponseBody().write(body);
    }
  }

  @Override
  public void close() throws IOException {
    for (Map<Endpoint, TcpFaultProxy> proxies : proxiesBySidecar.values()) {
      for (TcpFaultProxy proxy : proxies.values()) {
        proxy.close();
      }
    }
    listServers.values().forEach(l -> l.stop(0));
    endpoints.forEach(e -> e.server.stop(0));
    sharedListServer.stop(0);
    threads.shutdownNow();
  }
}
