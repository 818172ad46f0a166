package dillcross.fleet;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What one sidecar's admin endpoint says at a moment: its own name, whom it holds for what, and its
 * counts.
 */
record MembershipView(
    String name,
    int health,
    Map<String, String> states,
    Map<String, Long> boots,
    Map<String, Long> counts) {
  /**
   * @throws IOException where there is no answer, as from a process that is stopped
   */
  static MembershipView of(String admin) throws IOException {
    int colon = admin.lastIndexOf(':');
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(400);
      socket.connect(
          new InetSocketAddress(
              admin.substring(0, colon), Integer.parseInt(admin.substring(colon + 1))),
          400);
      socket
          .getOutputStream()
          .write("GET /-/members HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      InputStream in = socket.getInputStream();
      String all = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      int body = all.indexOf("\r\n\r\n");
      if (body < 0 || !all.startsWith("HTTP/1.1 200")) {
        throw new IOException("no view: " + all.lines().findFirst().orElse("nothing"));
      }
      return parse(JSON.std.mapFrom(all.substring(body + 4)));
    }
  }

  private static MembershipView parse(Map<String, Object> all) {
    Map<?, ?> self = (Map<?, ?>) all.get("self");
    Map<String, String> states = new LinkedHashMap<>();
    Map<String, Long> boots = new LinkedHashMap<>();
    for (Object one : (List<?>) all.get("members")) {
      Map<?, ?> row = (Map<?, ?>) one;
      states.put((String) row.get("name"), (String) row.get("state"));
      boots.put((String) row.get("name"), ((Number) row.get("boot")).longValue());
    }
    Map<String, Long> counts = new LinkedHashMap<>();
    ((Map<?, ?>) all.get("counts"))
        .forEach((key, value) -> counts.put((String) key, ((Number) value).longValue()));
    return new MembershipView(
        (String) self.get("name"), ((Number) self.get("health")).intValue(), states, boots, counts);
  }

  long live() {
    return states.values().stream().filter(s -> s.equals("alive") || s.equals("suspect")).count();
  }
}
