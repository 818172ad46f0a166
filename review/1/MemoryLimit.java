import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/** A crowd that stops half way in chunked bodies; the platform kills over the memory limit. */
final class MemoryLimit {
  private static final int MEMORY_MB = 96;
  private static final int CROWD = 290;
  private static final int WAVES = 3;
  private static final int CHUNKS = 65; // of 1,000 bytes: under the 64 KiB that a body may have
  private static final long TIMEOUT_MS = 1000;

  public static void main(String[] args) {
    Kit.main(args, MemoryLimit::run);
  }

  private static int run(Path root) throws Exception {
    byte[] body = new byte[2000];
    Arrays.fill(body, (byte) 'a');
    List<String> entries = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Kit.Server endpoint =
          new Kit.Server(
              (request, socket, out) -> {
                Kit.sleep(5);
                out.write(Kit.response(200, "", body));
              });
      entries.add(Kit.entry("s-" + i, endpoint.address(), "east", 0, "in_service"));
    }
    Kit.Server discovery = Kit.discovery(entries);
    String limits = "{\"cores\":1.0,\"memory_mb\":" + MEMORY_MB + ",\"sockets\":512}";
    try (Kit.Sidecar sidecar =
        new Kit.Sidecar(root, discovery.address(), Kit.list(1, true, entries), limits, Kit.settings(500, 1500))) {
      if (!sidecar.awaitReady()) {
        return 2;
      }
      AtomicBoolean isKilled = new AtomicBoolean();
      double[] peak = {0};
      Kit.start(
          () -> {
            while (!isKilled.get()) {
              double residentMb = sidecar.residentMb();
              peak[0] = Math.max(peak[0], residentMb);
              if (residentMb > MEMORY_MB) {
                Kit.log(
                    "platform: the sidecar has %.1f MB resident (files %.1f MB), its limit is %d MB: killed",
                    residentMb, sidecar.statusMb("RssFile:"), MEMORY_MB);
                isKilled.set(true);
                sidecar.process.destroyForcibly();
              }
              Kit.sleep(20);
            }
          });
      try (Kit.Load load = new Kit.Load(4, sidecar.port, TIMEOUT_MS, body)) {
        Kit.sleep(3000);
        Kit.log("clients so far: %s, peak %.1f MB resident", load.results, peak[0]);
        for (int wave = 0; wave < WAVES && !isKilled.get(); wave++) {
          List<Kit.Client> crowd = Kit.TROUBLE ? crowd(sidecar.port) : List.of();
          Kit.sleep(4000);
          crowd.forEach(Kit.Client::close);
        }
      }
      boolean hasEnded = !sidecar.process.isAlive();
      Kit.log("peak %.1f MB resident of %d MB, sidecar %s", peak[0], MEMORY_MB, hasEnded ? "has ended" : "runs");
      return isKilled.get() || hasEnded ? 1 : 0;
    }
  }

  private static List<Kit.Client> crowd(int port) {
    List<Kit.Client> crowd = new ArrayList<>();
    String chunk = "3e8\r\n" + "x".repeat(1000) + "\r\n";
    try {
      for (int i = 0; i < CROWD; i++) {
        Kit.Client client = new Kit.Client(port);
        crowd.add(client);
        String head = Kit.postHead("/buy/x", Kit.newId(), TIMEOUT_MS, "Transfer-Encoding: chunked");
        client.write(Kit.ascii(head + chunk.repeat(CHUNKS)));
      }
    } catch (IOException e) {
      Kit.log("crowd: %s", e);
    }
    Kit.log("crowd: %d clients have sent %d chunks of 1000 bytes each, and stop there", crowd.size(), CHUNKS);
    return crowd;
  }
}
