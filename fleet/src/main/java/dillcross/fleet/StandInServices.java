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
 * Endpoints and the list service, in this process: each endpoint takes its time, and fails when
 * told to.
 */
final class StandInServices implements AutoCloseable {
  /** One endpoint. */
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
  private final HttpServer list = server(threads);
  final List<Endpoint> endpoints = new ArrayList<>();
  private final Map<Integer, Map<Endpoint, TcpFaultProxy>> links =
      new ConcurrentHashMap<>(); // by sidecar, where it has links of its own
  private final Map<Integer, HttpServer> lists = new ConcurrentHashMap<>(); // likewise
  private final long startedMs = System.currentTimeMillis() - 600_000; // warm

  StandInServices(int count, List<String> zones, long workMs) throws IOException {
    for (int i = 0; i < count; i++) {
      endpoints.add(new Endpoint("e" + i, zones.get(i % zones.size()), workMs, threads));
    }
    list.createContext("/v1/servers", exchange -> watch(exchange, -1));
    list.start();
  }

  private static HttpServer server(ExecutorService threads) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
    server.setExecutor(threads);
    return server;
  }

  String listAddress() {
    return "127.0.0.1:" + list.getAddress().getPort();
  }

  /**
   * A list for that sidecar alone, on which each endpoint is behind a link of its own; its address.
   */
  String listFor(int sidecar) throws IOException {
    Map<Endpoint, TcpFaultProxy> own = new LinkedHashMap<>();
    for (Endpoint endpoint : endpoints) {
      own.put(endpoint, new TcpFaultProxy("127.0.0.1:" + endpoint.server.getAddress().getPort()));
    }
    links.put(sidecar, own);
    HttpServer server = server(threads);
    server.createContext("/v1/servers", exchange -> watch(exchange, sidecar));
    server.start();
    lists.put(sidecar, server);
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** The link between that sidecar and an endpoint. */
  TcpFaultProxy link(int sidecar, Endpoint endpoint) {
    return links.get(sidecar).get(endpoint);
  }

  /** The whole list to who has none; then nothing changes, and a watch waits as long as it may. */
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
                  : link(sidecar, endpoint).address());
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
    for (Map<Endpoint, TcpFaultProxy> own : links.values()) {
      for (TcpFaultProxy link : own.values()) {
        link.close();
      }
    }
    lists.values().forEach(l -> l.stop(0));
    endpoints.forEach(e -> e.server.stop(0));
    list.stop(0);
    threads.shutdownNow();
  }
}
