package dillcross.emulator.simulation;

import dillcross.emulator.network.SocketEndpoint;
import dillcross.emulator.oracle.ObservedRequest;
import dillcross.emulator.oracle.Violation.Rule;
import dillcross.emulator.random.RandomStream;
import dillcross.emulator.scenario.Scenario;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The application beside one sidecar. Its requests come when they come, whether earlier ones are
 * answered or not; it keeps connections, opens more when all are busy, and asks again, leaves early
 * or sends in pieces as the scenario says.
 */
final class EmulatedClients {
  private static final int FLOWS =
      64 << 10; // bytes of a body beyond which its time counts from when its last byte was taken
  private final SimulationContext world;
  private final SidecarProcess sidecar;
  private final Scenario.ClientSettings settings;
  private final RandomStream random;
  private final List<Scenario.RequestClass> requestClasses;
  private final double shares;
  private final ArrayDeque<Caller> idle = new ArrayDeque<>(); // the one used last is last
  private final List<Caller> resting = new ArrayList<>();
  private double times = 1; // as often as usual
  private double leaveShare;
  private long numbers;
  private long open;
  private long notTaken;
  private long again;

  EmulatedClients(SimulationContext world, SidecarProcess sidecar) {
    this.world = world;
    this.sidecar = sidecar;
    settings = world.scenario().clients();
    random = world.random().named("clients of " + sidecar.name);
    requestClasses = world.scenario().requestClasses();
    shares = requestClasses.stream().mapToDouble(Scenario.RequestClass::share).sum();
    leaveShare = settings.leaveShare();
  }

  /** Requests that wait for what becomes of them. */
  long open() {
    return open;
  }

  /** Requests that no process took, since none was there. */
  long notTaken() {
    return notTaken;
  }

  long retries() {
    return again;
  }

  // ---- When

  /** Requests come from now on until then. */
  void come(long untilUs) {
    for (int i = 0; i < settings.resting(); i++) {
      Caller caller = new Caller(true);
      resting.add(caller);
      caller.request(made(null, 0));
    }
    next(untilUs);
  }

  private void next(long untilUs) {
    double perS = settings.perS() * times;
    long waitUs = perS <= 0 ? 50_000 : Math.min(50_000, Math.round(random.exponential(1e6 / perS)));
    world
        .time()
        .after(
            waitUs,
            () -> {
              if (world.now() < untilUs) {
                if (perS > 0
                    && waitUs < 50_000) { // a longer wait begins anew, as arrivals have no memory
                  begin(made(null, 0));
                }
                next(untilUs);
              }
            });
  }

  void times(double factor) {
    times *= factor;
  }

  void leaves(double share, boolean now) {
    leaveShare = now ? share : settings.leaveShare();
  }

  /** Connections that rested ask, all within that time. */
  void wake(int count, long withinUs, RandomStream own) {
    for (int i = 0; i < Math.min(count, resting.size()); i++) {
      Caller caller = resting.get(i);
      world
          .time()
          .after(
              own.between(0, withinUs),
              () -> {
                if (caller.free()) {
                  caller.request(made(null, 0));
                } else if (caller.over) {
                  begin(made(null, 0));
                }
              });
    }
  }

  private Scenario.RequestClass requestClass() {
    double at = random.between(0.0, shares);
    for (Scenario.RequestClass requestClass : requestClasses) {
      at -= requestClass.share();
      if (at < 0) {
        return requestClass;
      }
    }
    return requestClasses.get(requestClasses.size() - 1);
  }

  private ObservedRequest made(ObservedRequest before, int attempt) {
    String id = before == null ? sidecar.name + "-" + ++numbers : before.id + "." + attempt;
    ObservedRequest request =
        new ObservedRequest(
            id,
            before == null ? "k" + id : before.key,
            before == null ? requestClass() : before.requestClass,
            sidecar.index,
            attempt,
            world.now());
    world.oracle().requested(request);
    return request;
  }

  private void begin(ObservedRequest request) {
    for (Caller last; (last = idle.pollLast()) != null; ) {
      if (last.free()) {
        last.request(request);
        return;
      }
    }
    new Caller(false).request(request);
  }

  // ---- One connection

  private final class Caller implements SocketEndpoint.Owner {
    private final boolean rests; // it belongs to nobody in between
    private SocketEndpoint end;
    private HttpStreamReader incoming = new HttpStreamReader();
    private ObservedRequest request; // that waits for its answer
    private ObservedRequest last;
    private byte[] requestBytes;
    private boolean resent;
    private boolean over;
    private String process; // that runs when it asked

    Caller(boolean rests) {
      this.rests = rests;
    }

    boolean free() {
      return !over && request == null && end != null && end.isOpen() && !end.wasReset();
    }

    void request(ObservedRequest next) {
      open++;
      request = next;
      resent = false;
      if (end == null) {
        connect();
      } else {
        send();
      }
    }

    private void connect() {
      incoming = new HttpStreamReader();
      process = sidecar.process();
      end = world.fabric().connect(sidecar.app, sidecar.address, this);
    }

    @Override
    public void up(SocketEndpoint same) {
      if (request != null) {
        send();
      }
    }

    @Override
    public void failed(SocketEndpoint same) {
      over = true;
      ObservedRequest was = request;
      if (was != null) {
        finish();
        notTaken++;
        was.excused = true;
        world.trace().note("nobody", "op", was.id);
      }
    }

    private void send() {
      ObservedRequest of = request;
      process = sidecar.process();
      Scenario.RequestClass requestClass = of.requestClass;
      RandomStream own =
          random.named(of.id); // how it is asked does not depend on when a connection was free
      boolean get = requestClass.effect().equals("idempotent");
      byte[] body = get ? null : HttpStreamReader.body(of.id + " ", requestClass.bodyBytes());
      boolean last = own.happens(settings.closeShare());
      requestBytes =
          HttpStreamReader.message(
              (get ? "GET /" : "POST /") + requestClass.name() + "/of HTTP/1.1",
              body,
              false,
              "Host",
              "app",
              "Request-Id",
              of.id,
              "Request-Timeout-Ms",
              String.valueOf((long) requestClass.timeoutMs()),
              "Idempotency-Key",
              get ? null : of.key,
              "Client-Retry",
              of.attempt > 0 ? "1" : null,
              "Connection",
              last ? "close" : null);
      int pieces =
          own.happens(settings.pieceShare()) && requestBytes.length > 8
              ? (int) own.between(2, 5)
              : 1;
      long atUs = 0;
      for (int i = 0; i < pieces; i++) {
        int from = (int) ((long) requestBytes.length * i / pieces);
        int to = (int) ((long) requestBytes.length * (i + 1) / pieces);
        boolean end = i == pieces - 1;
        SocketEndpoint on = this.end;
        world
            .time()
            .after(
                atUs,
                () -> {
                  if (on == this.end && request == of && on.isOpen()) {
                    boolean flows =
                        requestClass.bodyBytes() > FLOWS; // taken as fast as an endpoint takes it
                    on.send(
                        java.util.Arrays.copyOfRange(requestBytes, from, to),
                        end && flows ? () -> sent(of) : null);
                    if (end && !flows) {
                      sent(of);
                    }
                  }
                });
        atUs += own.between(500L, 20_000L);
      }
      if (own.happens(leaveShare)) {
        world
            .time()
            .after(
                settings.leaveMs().drawUs(own),
                () -> {
                  if (request == of) {
                    world.trace().note("leave", "op", of.id);
                    of.excused = true;
                    of.leftUs = world.now();
                    close();
                    finish();
                  }
                });
      }
    }

    private void sent(ObservedRequest of) {
      if (request != of) {
        return;
      }
      of.sentUs = world.now();
      world
          .trace()
          .note(
              "ask",
              "op",
              of.id,
              "at",
              sidecar.name,
              "kind",
              of.requestClass.name(),
              "try",
              of.attempt);
      world
          .time()
          .after(
              of.timeoutUs() + Math.round(settings.patienceMs() * 1000),
              () -> {
                if (request == of && !incoming.headCame()) {
                  world.oracle().silent(of);
                  close();
                  finish();
                }
              });
    }

    private void close() {
      over = true;
      end.close();
    }

    /** Nothing more comes of its request. */
    private void finish() {
      open--;
      last = request;
      request = null;
    }

    @Override
    public void readable(SocketEndpoint same) {
      if (same != end || over) {
        return;
      }
      byte[] bytes = end.readAll();
      if (bytes.length > 0) {
        if (request == null) {
          world.oracle().unasked(last, bytes.length);
        }
        incoming.add(bytes, end.firstSentUs());
      }
      if (request != null && incoming.complete()) {
        answered();
      }
      if (!over && end.over()) {
        ended();
      }
    }

    private void answered() {
      ObservedRequest of = request;
      int status = Integer.parseInt(incoming.word(1));
      boolean content =
          status != 200
              || (incoming.start().startsWith(of.id + " ")
                  && incoming.length() >= of.requestClass.answerBytes());
      world
          .trace()
          .note(
              "answer",
              "op",
              of.id,
              "status",
              status,
              "us",
              of.sentUs == Long.MAX_VALUE ? -1 : incoming.headSentUs() - of.sentUs);
      boolean isBodyIncomplete = of.sentUs == Long.MAX_VALUE;
      world.oracle().answered(of, status, incoming.headSentUs(), true, content);
      if (status == 400 || status == 404 || status == 405 || status == 413) {
        world
            .oracle()
            .broke(Rule.TRUE_CONTENT, of, "a good request was turned down with " + status);
      }
      boolean last = isBodyIncomplete || "close".equalsIgnoreCase(incoming.field("connection"));
      String retryAfter = incoming.field("retry-after");
      incoming.next();
      finish();
      if (last) {
        close();
      } else if (!rests) {
        idle.addLast(this);
      }
      if ((status == 503 || status == 429)
          && of.attempt < settings.retries()
          && !settings.retry().equals("none")) {
        double waitMs =
            settings.retry().equals("at_once") || retryAfter == null
                ? 1
                : Double.parseDouble(retryAfter) * 1000;
        open++;
        again++;
        world
            .time()
            .after(
                Math.round(waitMs * 1000),
                () -> {
                  open--;
                  begin(made(of, of.attempt + 1));
                });
      }
    }

    /** The sidecar closed it, or its process ended. */
    private void ended() {
      boolean unread =
          request != null && !resent && incoming.empty() && end.unreadByPeer(requestBytes.length);
      boolean processEnded = !sidecar.running() || !sidecar.process().equals(process);
      boolean started = incoming.headCame();
      long headSentUs = incoming.headSentUs();
      int status = started ? Integer.parseInt(incoming.word(1)) : 0;
      end.close();
      if (request == null) {
        over = true;
      } else if (unread && !processEnded) { // it crossed the close: once more, on a new connection
        resent = true;
        request.sentUs = Long.MAX_VALUE;
        connect();
      } else {
        ObservedRequest of = request;
        over = true;
        if (processEnded) {
          of.excused = true;
          of.orphan = true;
          of.over = true;
          world.trace().note("ended", "op", of.id);
        } else if (started) { // cut, and its client can tell
          world.trace().note("cut", "op", of.id);
          world.oracle().answered(of, status, headSentUs, false, true);
        } else if (of.sentUs == Long.MAX_VALUE) {
          of.excused = true; // it was turned away before it had come whole
          of.over = true;
        } else {
          world.oracle().dropped(of);
        }
        finish();
      }
    }
  }

  // ---- Those that send what is none

  /** Sends something else than a request, and closes after a while at the latest. */
  void rude(int count, long withinUs, RandomStream own) {
    for (int i = 0; i < count; i++) {
      String[] lines = {
        "\u0001\u0002\u0003 noise\r\n\r\n",
        "GET /",
        "",
        "GET /none/such HTTP/1.1\r\nHost: a\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
        "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET /" + "y".repeat(9000) + " HTTP/1.1\r\n",
        "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\nhalf"
      };
      String text = own.oneOf(List.of(lines));
      world
          .time()
          .after(
              own.between(0, withinUs),
              () ->
                  world
                      .fabric()
                      .connect(
                          sidecar.app,
                          sidecar.address,
                          new SocketEndpoint.Owner() {
                            @Override
                            public void up(SocketEndpoint end) {
                              end.send(text.getBytes(StandardCharsets.ISO_8859_1), null);
                              world.time().after(8_000_000, end::close);
                            }

                            @Override
                            public void readable(SocketEndpoint end) {
                              end.readAll();
                              if (end.over()) {
                                end.close();
                              }
                            }
                          }));
    }
  }
}
