import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A planned restart while clients send long requests: does each request whose last byte was written
 * before its connection ended get a whole answer?
 */
final class UploadAtStop extends Case {
  private static final int BODY_BYTES = 192 << 10;
  private static final int BYTES_PER_S = 64_000; // the page: a body at 64 kB a second
  private static final int PIECE_BYTES = 3200;
  private static final int LONGEST_DEADLINE_MS = 1500;
  private static final int KILL_AFTER_MS = 3700; // no sooner than the longest deadline and 0.7 s
  private static final int WORK_MS = 300;
  private static final int[] LAST_BYTE_MS = {800, 1200, 1600, 1800, 1950, 2050}; // after SIGTERM

  private static final String SETTINGS =
      "{\"locality\":\"east\",\"me\":0,\"balancers\":1,\"benefit_basis\":\"request\","
          + "\"discovery\":\"subscribe\",\"weight_source\":\"rough\",\"categories\":["
          + "{\"name\":\"read\",\"effect\":\"idempotent\",\"target_latency_ms\":500,\"ttl_ms\":1000,"
          + "\"benefit\":5,\"overdue_benefit\":0.25},"
          + "{\"name\":\"buy\",\"effect\":\"deduplicated\",\"key_scope\":\"zone\",\"window_ms\":3000,"
          + "\"target_latency_ms\":600,\"ttl_ms\":" + LONGEST_DEADLINE_MS
          + ",\"benefit\":15,\"overdue_benefit\":0.5}],"
          + "\"limits\":{\"max_pushes\":5,\"may_duplicate\":true,\"cancel\":true,\"retry_after\":true,"
          + "\"max_retry_after_ms\":1500,\"connect_timeout_ms\":200,\"keepalive_ms\":30000},"
          + "\"rules\":{\"ask_within_ms\":10000,\"start_capacity\":0.31,\"warm_up_ms\":7300,"
          + "\"fall_multiple\":4,\"fall_ms\":1500,\"dropped_stay_open\":false},"
          + "\"goal\":{\"punctual\":0,\"tail_slack\":0},\"prices\":{\"cross_zone\":0.03}}";

  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger cutShort = new AtomicInteger();

  public static void main(String[] args) {
    new UploadAtStop().execute(args);
  }

  @Override
  boolean play() throws Exception {
    Discovery discovery = new Discovery();
    for (int i = 0; i < 3; i++) {
      Endpoint endpoint = new Endpoint("s-" + i, this::work);
      discovery.put(endpoint.id, Discovery.entry(endpoint.id, endpoint.address(), "east", i, "in_service"));
    }
    Sidecar sidecar = new Sidecar(root, folder, "n1", discovery.address());
    sidecar.configure(discovery.whole(), SETTINGS);
    sidecar.start();
    record.line("sidecar ready");
    Client usual = new Client(sidecar.port());
    for (int i = 0; i < 20; i++) {
      usual.call(Client.request("GET", "/read/x", "u" + i, 1000, null, ""), 2000);
    }
    int sendingMs = BODY_BYTES * 1000 / BYTES_PER_S;
    double stopMs = record.nowMs() + sendingMs + 500;
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < LAST_BYTE_MS.length; i++) {
      String id = "long-" + i;
      double lastMs = stopMs + LAST_BYTE_MS[i];
      clients.add(Tasks.start(() -> send(sidecar.port(), id, lastMs - sendingMs, lastMs)));
    }
    Tasks.sleep(stopMs - record.nowMs());
    if (hasTrouble) {
      record.line("SIGTERM");
      sidecar.terminate();
      if (sidecar.awaitExit(KILL_AFTER_MS)) {
        record.line("the sidecar has ended by itself, status " + sidecar.exitValue());
      } else {
        record.line("SIGKILL");
        sidecar.kill();
      }
    }
    for (Thread client : clients) {
      client.join(10_000);
    }
    record.line("long requests answered " + answered + ", not taken " + cutShort + ", lost " + lost);
    if (answered.get() + cutShort.get() + lost.get() != LAST_BYTE_MS.length) {
      throw new IOException("a client has not ended");
    }
    return lost.get() > 0;
  }

  private void work(Endpoint endpoint, Http.Message request, Socket socket, BufferedInputStream in)
      throws Exception {
    String id = request.field("request-id");
    boolean isLong = id.startsWith("long");
    if (isLong) {
      record.line("run " + id + " at " + endpoint.id + ", " + request.body().length + " body bytes");
    }
    Tasks.sleep(isLong ? WORK_MS : 10);
    socket.getOutputStream().write(Http.ok("answer to " + id));
  }

  /** Sends one request from {@code startMs} on, its last byte at {@code lastMs}. */
  private void send(int port, String id, double startMs, double lastMs) throws Exception {
    Tasks.sleep(startMs - record.nowMs());
    boolean isTaken = false;
    try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
      socket.setTcpNoDelay(true);
      OutputStream out = socket.getOutputStream();
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      String head =
          "POST /buy/" + id + " HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + id
              + "\r\nRequest-Timeout-Ms: " + LONGEST_DEADLINE_MS + "\r\nIdempotency-Key: " + id
              + "\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";
      out.write(Http.bytes(head));
      byte[] piece = new byte[PIECE_BYTES];
      for (int done = 0; done < BODY_BYTES; ) {
        double dueMs = lastMs - (BODY_BYTES - done) * 1000.0 / BYTES_PER_S;
        Tasks.sleep(dueMs - record.nowMs());
        if (in.available() > 0) {
          break; // answered before all was sent
        }
        int count = Math.min(PIECE_BYTES, BODY_BYTES - done);
        out.write(piece, 0, count);
        done += count;
        isTaken = done == BODY_BYTES;
      }
      if (isTaken) {
        record.line("last byte of " + id + " is written");
      }
      socket.setSoTimeout(LONGEST_DEADLINE_MS + 500);
      Http.Message answer = Http.read(in);
      if (answer == null) {
        throw new IOException("the connection was closed");
      }
      record.line("answer " + answer.status() + " " + id);
      answered.incrementAndGet();
    } catch (IOException e) {
      record.line((isTaken ? "LOST " : "not taken ") + id + ": " + e.getMessage());
      (isTaken ? lost : cutShort).incrementAndGet();
    }
  }
}
