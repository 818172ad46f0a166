import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Many long answers at a time, from endpoints that are slow, beside short requests. */
final class DroppedAnswers {
  private static final int LONG_REQUESTS = 200; // under a third of the 1,024 descriptors, which clients may hold
  private static final int LONG_BYTES = 400_000;
  private static final int FIRST_BYTES = 70_000; // over 64 KiB, so the rest is passed on as it comes
  private static final int PIECE_BYTES = 6_400; // every 100 ms: 64 kB a second
  private static final int SHORT_BYTES = 7_000;
  private static final long TIMEOUT_MS = 3000;

  private static final byte[] LONG = filled(LONG_BYTES);
  private static final byte[] SHORT = filled(SHORT_BYTES);

  public static void main(String[] args) {
    Kit.main(args, DroppedAnswers::run);
  }

  private static byte[] filled(int count) {
    byte[] bytes = new byte[count];
    Arrays.fill(bytes, (byte) 'a');
    return bytes;
  }

  private static int run(Path root) throws Exception {
    List<String> entries = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Kit.Server endpoint =
          new Kit.Server(
              (request, socket, out) -> {
                String id = request.fields().get("request-id");
                if (request.path().startsWith("/read/long")) {
                  Kit.log("endpoint: begins the answer to %s", id);
                  writeLong(out);
                } else {
                  Kit.sleep(5);
                  out.write(Kit.response(200, "", SHORT));
                }
              });
      entries.add(Kit.entry("s-" + i, endpoint.address(), "east", 0, "in_service"));
    }
    Kit.Server discovery = Kit.discovery(entries);
    String limits = "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}";
    try (Kit.Sidecar sidecar =
        new Kit.Sidecar(
            root, discovery.address(), Kit.list(1, true, entries), limits, Kit.settings(1000, TIMEOUT_MS))) {
      if (!sidecar.awaitReady()) {
        return 2;
      }
      Map<String, Long> longResults = new ConcurrentHashMap<>();
      Kit.Load shortLoad = new Kit.Load(4, sidecar.port, TIMEOUT_MS, SHORT);
      try (shortLoad) {
        Kit.sleep(1500);
        Kit.log("short requests so far: %s", shortLoad.results);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < LONG_REQUESTS; i++) {
          clients.add(Kit.start(() -> longResults.merge(ask(sidecar.port), 1L, Long::sum)));
          Kit.sleep(8);
        }
        for (Thread client : clients) {
          client.join(20_000);
        }
      }
      Kit.log("long requests: %s; the sidecar %s", new TreeMap<>(longResults), sidecar.process.isAlive() ? "runs" : "has ended");
      long lost = longResults.getOrDefault("LOST", 0L) + shortLoad.count("LOST");
      boolean hasServed = longResults.containsKey("served") && shortLoad.count("served") > 0;
      return lost > 0 || !sidecar.process.isAlive() ? 1 : hasServed ? 0 : 2;
    }
  }

  /** Writes a long answer; with the trouble at 64 kB a second from its first 70 kB on. */
  private static void writeLong(java.io.OutputStream out) throws IOException {
    byte[] all = Kit.response(200, "", LONG);
    int written = Kit.TROUBLE ? all.length - LONG_BYTES + FIRST_BYTES : all.length;
    out.write(all, 0, written);
    out.flush();
    while (written < all.length) {
      Kit.sleep(100);
      int count = Math.min(PIECE_BYTES, all.length - written);
      out.write(all, written, count);
      out.flush();
      written += count;
    }
  }

  private static String ask(int port) {
    String id = Kit.newId();
    boolean isSent = false;
    int status = 0;
    try (Kit.Client client = new Kit.Client(port)) {
      client.socket.setSoTimeout(15_000);
      client.write(Kit.get("/read/long", id, TIMEOUT_MS));
      isSent = true;
      client.in.mark(16);
      status = client.in.read() == 'H' ? 1 : 0; // whether an answer has begun
      client.in.reset();
      Kit.Message answer = client.read();
      if (answer.status() == 200 && !Arrays.equals(answer.body(), LONG)) {
        Kit.log("client: %s LOST, served with another body", id);
        return "LOST";
      }
      return answer.status() == 200 ? "served" : "answered " + answer.status();
    } catch (IOException e) {
      if (!isSent) {
        return "not sent";
      }
      // An answer that has begun and shows that it is not whole would have failed; one closed unbegun is lost.
      Kit.log("client: %s %s: %s", id, status == 1 ? "has a part of an answer" : "LOST", e.getMessage());
      return status == 1 ? "answered in part" : "LOST";
    }
  }
}
