package dillcross.fleet;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The members that one sidecar knows at a moment, as its admin endpoint reports them.
 *
 * @param name the sidecar's own name
 * @param health its local health multiplier; 0 is healthy
 * @param states the states of the other members, by name
 * @param boots the boot ids of the other members, by name; a restarted process has a higher one
 * @param counts the membership counters of the sidecar, by name
 */
record MembershipView(
    String name,
    int health,
    Map<String, String> states,
    Map<String, Long> boots,
    Map<String, Long> counts) {
  private static final int TIMEOUT_MS = 400; // for connecting, and for each read
  private static final String REQUEST = "GET /-/members HTTP/1.1\r\nHost: a\r\n\r\n";
  private static final String STATUS_OK = "HTTP/1.1 200";
  private static final String END_OF_HEAD = "\r\n\r\n";

  /**
   * Requests the view of the sidecar with that admin address.
   *
   * @throws IOException if there is no valid response, for example because the process is stopped
   */
  static MembershipView of(String adminAddress) throws IOException {
    String response = request(adminAddress);
    int endOfHead = response.indexOf(END_OF_HEAD);
    if (endOfHead < 0 || !response.startsWith(STATUS_OK)) {
      throw new IOException(
          "no membership view: " + response.lines().findFirst().orElse("empty response"));
    }
    return parse(JSON.std.mapFrom(response.substring(endOfHead + END_OF_HEAD.length())));
  }

  private static String request(String adminAddress) throws IOException {
    int colon = adminAddress.lastIndexOf(':');
    String host = adminAddress.substring(0, colon);
    int port = Integer.parseInt(adminAddress.substring(colon + 1));
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(TIMEOUT_MS);
      socket.connect(new InetSocketAddress(host, port), TIMEOUT_MS);
      socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private static MembershipView parse(Map<String, Object> view) {
    Map<?, ?> self = (Map<?, ?>) view.get("self");
    Map<String, String> states = new LinkedHashMap<>();
    Map<String, Long> boots = new LinkedHashMap<>();
    for (Object item : (List<?>) view.get("members")) {
      Map<?, ?> member = (Map<?, ?>) item;
      String name = (String) member.get("name");
      states.put(name, (String) member.get("state"));
      boots.put(name, ((Number) member.get("boot")).longValue());
    }
    Map<String, Long> counts = new LinkedHashMap<>();
    ((Map<?, ?>) view.get("counts"))
        .forEach((key, value) -> counts.put((String) key, ((Number) value).longValue()));
    int health = ((Number) self.get("health")).intValue();
    return new MembershipView((String) self.get("name"), health, states, boots, counts);
  }

  /** The number of other members that this sidecar reports as alive or suspect. */
  long live() {
    return states.values().stream()
        .filter(state -> state.equals("alive") || state.equals("suspect"))
        .count();
  }
}
