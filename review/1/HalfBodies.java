import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/** A crowd that stops half way in chunked bodies, and comes again, beside usual clients. */
final class HalfBodies {
  private static final int MEMORY_MB = 192;
  private static final int GROUPS = 16;
  private static final int GROUP_CLIENTS = 40; // 640 at a time; the sidecar accepts 650
  private static final long STAY_MS = 2200; // a client stays until it has been turned away
  private static final long CROWD_MS = 15_000;
  private static final int FIELDS = 150; // heads of 6.5 kB; 8 KiB are accepted
  private static final int CHUNKS = 65; // of 1,000 bytes: under the 64 KiB that a body may have
  private static final long TIMEOUT_MS = 500;

  public static void main(String[] args) {
    Kit.main(args, HalfBodies::run);
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
    String limits = "{\"cores\":1.0,\"memory_mb\":" + MEMORY_MB + ",\"sockets\":1024}";
    try (Kit.Sidecar sidecar =
        new Kit.Sidecar(root, discovery.address(), Kit.list(1, true, entries), limits, Kit.settings(500, 1500))) {
      if (!sidecar.awaitReady()) {
        return 2;
      }
      Kit.Load load = new Kit.Load(4, sidecar.port, TIMEOUT_MS, body);
      try (load) {
        Kit.sleep(2000);
        Kit.log("usual clients before the crowd: %s, %.0f MB resident", load.results, sidecar.residentMb());
        AtomicBoolean isOver = new AtomicBoolean();
        for (int group = 0; Kit.TROUBLE && group < GROUPS; group++) {
          Kit.start(() -> crowd(sidecar.port, isOver));
        }
        for (long ms = 0; ms < CROWD_MS; ms += 1000) {
          Kit.sleep(1000);
          Kit.log("usual clients so far: %s, %.0f MB resident", load.results, sidecar.residentMb());
        }
        isOver.set(true);
        Kit.sleep(5000);
      }
      boolean hasEnded = !sidecar.process.isAlive();
      long outOfMemory =
          Files.readAllLines(sidecar.folder.resolve("log")).stream()
              .filter(line -> line.startsWith("java.lang.OutOfMemoryError"))
              .count();
      Kit.log("the sidecar %s; %d lines of OutOfMemoryError in its log", hasEnded ? "has ended" : "runs", outOfMemory);
      return load.count("LOST") > 0 || hasEnded ? 1 : load.count("served") > 0 ? 0 : 2;
    }
  }

  /** Some clients of the crowd: each sends most of one request, stays, goes, and comes again. */
  private static void crowd(int port, AtomicBoolean isOver) {
    String fields = "";
    for (int i = 0; i < FIELDS; i++) {
      fields += "X-" + i + ": " + "n".repeat(35) + "\r\n";
    }
    String chunks = ("3e8\r\n" + "x".repeat(1000) + "\r\n").repeat(CHUNKS);
    int sent = 0;
    while (!isOver.get()) {
      List<Kit.Client> clients = new ArrayList<>();
      for (int i = 0; i < GROUP_CLIENTS; i++) {
        try {
          Kit.Client client = new Kit.Client(port);
          clients.add(client);
          String head = Kit.postHead("/buy/x", Kit.newId(), TIMEOUT_MS, fields + "Transfer-Encoding: chunked");
          client.write(Kit.ascii(head + chunks));
          sent++;
        } catch (IOException e) {
          // turned away
        }
      }
      Kit.sleep(STAY_MS);
      clients.forEach(Kit.Client::close);
    }
    Kit.log("crowd: a group of %d clients has sent %d requests but for their end", GROUP_CLIENTS, sent);
  }
}
