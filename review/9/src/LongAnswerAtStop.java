import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A planned restart while long answers are passed on: does the sidecar pass on what the endpoints
 * still give, until the platform kills it?
 */
final class LongAnswerAtStop extends Case {
  private static final int ANSWER_BYTES = 1_200_000;
  private static final int PIECE_BYTES = 20_000;
  private static final int PIECE_MS = 50; // 400 kB a second: 3 s in all
  private static final int LONGEST_DEADLINE_MS = 1500;
  private static final int KILL_AFTER_MS = 5000; // no sooner than the longest deadline and 0.7 s
  private static final int[] START_MS = {-2500, -1500, -800, -400, -200, 200}; // from SIGTERM on

  private static final String SETTINGS =
      "{\"locality\":\"east\",\"me\":0,\"balancers\":1,\"benefit_basis\":\"request\","
          + "\"discovery\":\"subscribe\",\"weight_source\":\"rough\",\"categories\":["
          + "{\"name\":\"read\",\"effect\":\"idempotent\",\"target_latency_ms\":500,\"ttl_ms\":"
          + LONGEST_DEADLINE_MS + ",\"benefit\":5,\"overdue_benefit\":0.25}],"
          + "\"limits\":{\"max_pushes\":5,\"may_duplicate\":true,\"cancel\":true,\"retry_after\":true,"
          + "\"max_retry_after_ms\":1500,\"connect_timeout_ms\":200,\"keepalive_ms\":30000},"
          + "\"rules\":{\"ask_within_ms\":10000,\"start_capacity\":0.31,\"warm_up_ms\":7300,"
          + "\"fall_multiple\":4,\"fall_ms\":1500,\"dropped_stay_open\":false},"
          + "\"goal\":{\"punctual\":0,\"tail_slack\":0},\"prices\":{\"cross_zone\":0.03}}";

  private final AtomicInteger whole = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger cut = new AtomicInteger();
  private volatile boolean isKilled;

  public static void main(String[] args) {
    new LongAnswerAtStop().execute(args);
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
    double stopMs = record.nowMs() + 3000;
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < START_MS.length; i++) {
      String id = "long-" + i;
      double startMs = stopMs + START_MS[i];
      clients.add(Tasks.start(() -> ask(sidecar.port(), id, startMs)));
    }
    Tasks.sleep(stopMs - record.nowMs());
    if (hasTrouble) {
      record.line("SIGTERM");
      sidecar.terminate();
      if (sidecar.awaitExit(KILL_AFTER_MS)) {
        record.line("the sidecar has ended by itself, status " + sidecar.exitValue());
      } else {
        record.line("SIGKILL");
        isKilled = true;
        sidecar.kill();
      }
    }
    for (Thread client : clients) {
      client.join(10_000);
    }
    record.line("long answers whole " + whole + ", refused " + refused + ", cut off " + cut);
    if (whole.get() + refused.get() + cut.get() != START_MS.length) {
      throw new IOException("a client has not ended, or was cut by SIGKILL");
    }
    return cut.get() > 0;
  }

  private void work(Endpoint endpoint, Http.Message request, Socket socket, BufferedInputStream in)
      throws Exception {
    String id = request.field("request-id");
    OutputStream out = socket.getOutputStream();
    if (!id.startsWith("long")) {
      Tasks.sleep(10);
      out.write(Http.ok("answer to " + id));
      return;
    }
    record.line("run " + id + " at " + endpoint.id);
    out.write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + ANSWER_BYTES + "\r\n\r\n"));
    for (int done = 0; done < ANSWER_BYTES; done += PIECE_BYTES) {
      try {
        out.write(new byte[PIECE_BYTES]);
      } catch (IOException broken) {
        record.line("the sidecar takes no more of " + id + " after " + done + " bytes");
        throw broken;
      }
      Tasks.sleep(PIECE_MS);
    }
    record.line("all of " + id + " is given");
  }

  private void ask(int port, String id, double startMs) throws Exception {
    Tasks.sleep(startMs - record.nowMs());
    boolean hasBegun = false;
    try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(6000);
      socket
          .getOutputStream()
          .write(Http.bytes(Client.request("GET", "/read/" + id, id, LONGEST_DEADLINE_MS, null, "")));
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      in.mark(1);
      hasBegun = in.read() >= 0;
      in.reset();
      Http.Message answer = Http.read(in);
      if (answer == null) {
        throw new IOException("closed with no answer");
      }
      record.line("answer " + answer.status() + " " + id + ", " + answer.body().length + " bytes");
      (answer.status() == 200 ? whole : refused).incrementAndGet();
    } catch (IOException e) {
      record.line((hasBegun ? "CUT OFF " : "NO ANSWER ") + id + ": " + e.getMessage());
      if (!isKilled) {
        cut.incrementAndGet();
      }
    }
  }
}
