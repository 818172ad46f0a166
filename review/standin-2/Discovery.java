import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;

/** Stand-in for discovery: one list, watches with version and timeout, as the protocol page says. */
final class Discovery {
  private final ServerSocket server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
  private final Map<String, String> entries = new LinkedHashMap<>();
  private final Map<String, Long> changed = new LinkedHashMap<>();
  private long version = 1;

  Discovery() throws IOException {
    Tasks.start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  static String entry(String id, String addr, String zone, int cell, String state) {
    return String.format(
        "{\"id\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\",\"kind\":\"k\",\"cell\":%d,"
            + "\"state\":\"%s\",\"weight\":1.0,\"started_ms\":0}",
        id, addr, zone, cell, state);
  }

  synchronized void put(String id, String entry) {
    version++;
    entries.put(id, entry);
    changed.put(id, version);
    notifyAll();
  }

  synchronized String whole() {
    return list(true, 0);
  }

  private String list(boolean full, long since) {
    StringBuilder text = new StringBuilder();
    entries.forEach(
        (id, entry) -> {
          if (full || changed.get(id) > since) {
            text.append(text.length() == 0 ? "" : ",").append(entry);
          }
        });
    return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + text + "]}";
  }

  private synchronized String answer(String target) throws InterruptedException {
    long since = number(target, "since=");
    if (since <= 0) {
      return list(true, 0);
    }
    long untilMs = System.currentTimeMillis() + Math.min(60_000, number(target, "timeout_ms="));
    while (version <= since && System.currentTimeMillis() < untilMs) {
      wait(Math.max(1, untilMs - System.currentTimeMillis()));
    }
    return list(false, since);
  }

  private static long number(String target, String name) {
    int at = target.indexOf(name);
    return at < 0 ? 0 : Long.parseLong(target.substring(at + name.length()).split("[& ]")[0]);
  }

  private void accept() throws Exception {
    while (true) {
      Socket socket = server.accept();
      socket.setTcpNoDelay(true);
      Tasks.start(() -> serve(socket));
    }
  }

  private void serve(Socket socket) throws Exception {
    try (socket) {
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
        socket.getOutputStream().write(Http.ok(answer(call.start())));
      }
    }
  }
}
