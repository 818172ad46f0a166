import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** A crowd that stops half way in bodies of a stated length, while usual clients ask. */
final class DroppedAnswers {
  private static final int CROWD = 600; // the sidecar's own limit is 650 clients at 1,024 descriptors
  private static final int WAVES = 2;
  private static final int ANSWER_BYTES = 7000;
  private static final long TIMEOUT_MS = 1000;

  public static void main(String[] args) {
    Kit.main(args, DroppedAnswers::run);
  }

  private static int run(Path root) throws Exception {
    byte[] body = new byte[ANSWER_BYTES];
    Arrays.fill(body, (byte) 'a');
    List<String> entries = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Kit.Server endpoint =
          new Kit.Server(
              (request, socket, out) -> {
                Kit.sleep(5);
                out.write(Kit.response(200, "", body));
                out.flush();
                Kit.log("endpoint: answered %s", request.fields().get("request-id"));
              });
      entries.add(Kit.entry("s-" + i, endpoint.address(), "east", 0, "in_service"));
    }
    Kit.Server discovery = Kit.discovery(entries);
    String limits = "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}";
    try (Kit.Sidecar sidecar =
        new Kit.Sidecar(root, discovery.address(), Kit.list(1, true, entries), limits, Kit.settings(500, 1500))) {
      if (!sidecar.awaitReady()) {
        return 2;
      }
      Kit.Load load = new Kit.Load(4, sidecar.port, TIMEOUT_MS, body);
      try (load) {
        Kit.sleep(2000);
        Kit.log("clients so far: %s", load.results);
        for (int wave = 0; wave < WAVES; wave++) {
          List<Kit.Client> crowd = Kit.TROUBLE ? crowd(sidecar.port) : List.of();
          Kit.sleep(4000);
          Kit.log("clients so far: %s", load.results);
          crowd.forEach(Kit.Client::close);
        }
      }
      if (!sidecar.process.isAlive()) {
        Kit.log("the sidecar has ended");
        return 1;
      }
      return load.count("LOST") > 0 ? 1 : load.count("served") > 0 ? 0 : 2;
    }
  }

  private static List<Kit.Client> crowd(int port) {
    List<Kit.Client> crowd = new ArrayList<>();
    try {
      for (int i = 0; i < CROWD; i++) {
        Kit.Client client = new Kit.Client(port);
        crowd.add(client);
        int length = 1000 + i * 7919 % 64_000; // up to 64 KiB, spread evenly
        String head = Kit.postHead("/buy/x", Kit.newId(), TIMEOUT_MS, "Content-Length: " + length);
        client.write(Kit.ascii(head + "x".repeat(100)));
      }
    } catch (IOException e) {
      Kit.log("crowd: %s", e);
    }
    Kit.log("crowd: %d clients have sent 100 bytes of a body of up to 64 KiB, and stop there", crowd.size());
    return crowd;
  }
}
