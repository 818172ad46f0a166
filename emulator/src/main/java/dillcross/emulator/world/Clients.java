package dillcross.emulator.world;

import dillcross.emulator.chance.Chance;
import dillcross.emulator.oracle.Ask;
import dillcross.emulator.oracle.Violation.Rule;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.wire.End;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The application beside one sidecar. Its ops come when they come, whether earlier ones are
 * answered or not; it keeps connections, opens more when all are busy, and asks again, leaves early
 * or sends in pieces as the scenario says.
 */
final class Clients {
  private static final int FLOWS =
      64 << 10; // bytes of a body beyond which its time counts from when its last byte was taken
  private final World world;
  private final Instance sidecar;
  private final Scenario.Clients is;
  private final Chance chance;
  private final List<Scenario.Kind> kinds;
  private final double shares;
  private final ArrayDeque<Caller> idle = new ArrayDeque<>(); // the one used last is last
  private final List<Caller> resting = new ArrayList<>();
  private double times = 1; // as often as usual
  private double leaveShare;
  private long numbers;
  private long open;
  private long notTaken;
  private long again;

  Clients(World world, Instance sidecar) {
    this.world = world;
    this.sidecar = sidecar;
    is = world.scenario().clients();
    chance = world.chance().named("clients of " + sidecar.name);
    kinds = world.scenario().categories();
    shares = kinds.stream().mapToDouble(Scenario.Kind::share).sum();
    leaveShare = is.leaveShare();
  }

  /** Ops that wait for what becomes of them. */
  long open() {
    return open;
  }

  /** Ops that no process took, since none was there. */
  long notTaken() {
    return notTaken;
  }

  long retries() {
    return again;
  }

  // ---- When

  /** Ops come from now on until then. */
  void come(long untilUs) {
    for (int i = 0; i < is.resting(); i++) {
      Caller caller = new Caller(true);
      resting.add(caller);
      caller.ask(made(null, 0));
    }
    next(untilUs);
  }

  private void next(long untilUs) {
    double perS = is.perS() * times;
    long waitUs = perS <= 0 ? 50_000 : Math.min(50_000, Math.round(chance.exponential(1e6 / perS)));
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
    leaveShare = now ? share : is.leaveShare();
  }

  /** Connections that rested ask, all within that time. */
  void wake(int count, long withinUs, Chance own) {
    for (int i = 0; i < Math.min(count, resting.size()); i++) {
      Caller caller = resting.get(i);
      world
          .time()
          .after(
              own.between(0, withinUs),
              () -> {
                if (caller.free()) {
                  caller.ask(made(null, 0));
                } else if (caller.over) {
                  begin(made(null, 0));
                }
              });
    }
  }

  private Scenario.Kind kind() {
    double at = chance.between(0.0, shares);
    for (Scenario.Kind kind : kinds) {
      at -= kind.share();
      if (at < 0) {
        return kind;
      }
    }
    return kinds.get(kinds.size() - 1);
  }

  private Ask made(Ask before, int attempt) {
    String id = before == null ? sidecar.name + "-" + ++numbers : before.id + "." + attempt;
    Ask ask =
        new Ask(
            id,
            before == null ? "k" + id : before.key,
            before == null ? kind() : before.kind,
            sidecar.index,
            attempt,
            world.now());
    world.oracle().asked(ask);
    return ask;
  }

  private void begin(Ask ask) {
    for (Caller last; (last = idle.pollLast()) != null; ) {
      if (last.free()) {
        last.ask(ask);
        return;
      }
    }
    new Caller(false).ask(ask);
  }

  // ---- One connection

  private final class Caller implements End.Owner {
    private final boolean rests; // it belongs to nobody in between
    private End end;
    private Incoming incoming = new Incoming();
    private Ask ask; // that waits for its answer
    private Ask last;
    private byte[] request;
    private boolean resent;
    private boolean over;
    private String process; // that runs when it asked

    Caller(boolean rests) {
      this.rests = rests;
    }

    boolean free() {
      return !over && ask == null && end != null && end.isOpen() && !end.wasReset();
    }

    void ask(Ask next) {
      open++;
      ask = next;
      resent = false;
      if (end == null) {
        connect();
      } else {
        send();
      }
    }

    private void connect() {
      incoming = new Incoming();
      process = sidecar.process();
      end = world.fabric().connect(sidecar.app, sidecar.address, this);
    }

    @Override
    public void up(End same) {
      if (ask != null) {
        send();
      }
    }

    @Override
    public void failed(End same) {
      over = true;
      Ask was = ask;
      if (was != null) {
        finish();
        notTaken++;
        was.excused = true;
        world.trace().note("nobody", "op", was.id);
      }
    }

    private void send() {
      Ask of = ask;
      process = sidecar.process();
      Scenario.Kind kind = of.kind;
      Chance own =
          chance.named(of.id); // how it is asked does not depend on when a connection was free
      boolean get = kind.effect().equals("idempotent");
      byte[] body = get ? null : Incoming.body(of.id + " ", kind.bodyBytes());
      boolean last = own.happens(is.closeShare());
      request =
          Incoming.message(
              (get ? "GET /" : "POST /") + kind.name() + "/of HTTP/1.1",
              body,
              false,
              "Host",
              "app",
              "Request-Id",
              of.id,
              "Request-Timeout-Ms",
              String.valueOf((long) kind.ttlMs()),
              "Idempotency-Key",
              get ? null : of.key,
              "Client-Retry",
              of.attempt > 0 ? "1" : null,
              "Connection",
              last ? "close" : null);
      int pieces = own.happens(is.pieceShare()) && request.length > 8 ? (int) own.between(2, 5) : 1;
      long atUs = 0;
      for (int i = 0; i < pieces; i++) {
        int from = (int) ((long) request.length * i / pieces);
        int to = (int) ((long) request.length * (i + 1) / pieces);
        boolean end = i == pieces - 1;
        End on = this.end;
        world
            .time()
            .after(
                atUs,
                () -> {
                  if (on == this.end && ask == of && on.isOpen()) {
                    boolean flows =
                        kind.bodyBytes() > FLOWS; // taken as fast as an endpoint takes it
                    on.send(
                        java.util.Arrays.copyOfRange(request, from, to),
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
                is.leaveMs().drawUs(own),
                () -> {
                  if (ask == of) {
                    world.trace().note("leave", "op", of.id);
                    of.excused = true;
                    of.leftUs = world.now();
                    close();
                    finish();
                  }
                });
      }
    }

    private void sent(Ask of) {
      if (ask != of) {
        return;
      }
      of.sentUs = world.now();
      world
          .trace()
          .note("ask", "op", of.id, "at", sidecar.name, "kind", of.kind.name(), "try", of.attempt);
      world
          .time()
          .after(
              of.ttlUs() + Math.round(is.patienceMs() * 1000),
              () -> {
                if (ask == of && !incoming.headCame()) {
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

    /** Nothing more comes of its op. */
    private void finish() {
      open--;
      last = ask;
      ask = null;
    }

    @Override
    public void readable(End same) {
      if (same != end || over) {
        return;
      }
      byte[] bytes = end.readAll();
      if (bytes.length > 0) {
        if (ask == null) {
          world.oracle().unasked(last, bytes.length);
        }
        incoming.add(bytes, end.firstSentUs());
      }
      if (ask != null && incoming.whole()) {
        answered();
      }
      if (!over && end.over()) {
        ended();
      }
    }

    private void answered() {
      Ask of = ask;
      int status = Integer.parseInt(incoming.word(1));
      boolean content =
          status != 200
              || incoming.start().startsWith(of.id + " ")
                  && incoming.length() >= of.kind.answerBytes();
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
      boolean coming = of.sentUs == Long.MAX_VALUE;
      world.oracle().answered(of, status, incoming.headSentUs(), true, content);
      if (status == 400 || status == 404 || status == 405 || status == 413) {
        world
            .oracle()
            .broke(Rule.TRUE_CONTENT, of, "a good request was turned down with " + status);
      }
      boolean last = coming || "close".equalsIgnoreCase(incoming.field("connection"));
      String retryAfter = incoming.field("retry-after");
      incoming.next();
      finish();
      if (last) {
        close();
      } else if (!rests) {
        idle.addLast(this);
      }
      if ((status == 503 || status == 429)
          && of.attempt < is.retries()
          && !is.retry().equals("none")) {
        double waitMs =
            is.retry().equals("at_once") || retryAfter == null
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
          ask != null && !resent && incoming.empty() && end.unreadByPeer(request.length);
      boolean processEnded = !sidecar.running() || !sidecar.process().equals(process);
      boolean begun = incoming.headCame();
      long headSentUs = incoming.headSentUs();
      int status = begun ? Integer.parseInt(incoming.word(1)) : 0;
      end.close();
      if (ask == null) {
        over = true;
      } else if (unread && !processEnded) { // it crossed the close: once more, on a new connection
        resent = true;
        ask.sentUs = Long.MAX_VALUE;
        connect();
      } else {
        Ask of = ask;
        over = true;
        if (processEnded) {
          of.excused = true;
          of.orphan = true;
          of.over = true;
          world.trace().note("ended", "op", of.id);
        } else if (begun) { // cut, and its client can tell
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
  void rude(int count, long withinUs, Chance own) {
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
                          new End.Owner() {
                            @Override
                            public void up(End end) {
                              end.send(text.getBytes(StandardCharsets.ISO_8859_1), null);
                              world.time().after(8_000_000, end::close);
                            }

                            @Override
                            public void readable(End end) {
                              end.readAll();
                              if (end.over()) {
                                end.close();
                              }
                            }
                          }));
    }
  }
}
