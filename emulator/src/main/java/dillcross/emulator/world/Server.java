package dillcross.emulator.world;

import dillcross.emulator.chance.Chance;
import dillcross.emulator.oracle.Ask;
import dillcross.emulator.oracle.Violation.Rule;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.wire.End;
import dillcross.emulator.wire.Fabric;
import dillcross.emulator.wire.Host;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Set;

/**
 * An endpoint: a machine, a process on it that dies and starts again, cores that carry out what has
 * come whole, a queue before them, and all that can be wrong with it.
 */
final class Server implements Fabric.Entry {
  /** What goes wrong with it at the moment; each figure as long as its trouble lasts. */
  static final class Ills {
    double slow = 1;
    double errors;
    double garbled;
    double resets;
    String resetsWhen = "after";
    int silent; // troubles that keep it so
    int pauses;
    int connections = Integer.MAX_VALUE;
  }

  /** One request. */
  private final class Work {
    final Visit visit;
    final Ask ask;
    final Ask.Push push;
    final long untilUs; // when nobody waits for it any more
    boolean gone; // whoever sent it has closed

    Work(Visit visit, Ask ask, Ask.Push push, long untilUs) {
      this.visit = visit;
      this.ask = ask;
      this.push = push;
      this.untilUs = untilUs;
    }
  }

  private static final int DRIP = 32 << 10;
  private static final long DRIP_US = 1500;

  private record Bit(long atUs, double workUs) {}

  final String id;
  final String zone;
  final int cell;
  final String address;
  final Ills ills = new Ills();
  private final World world;
  private final Host host;
  private final Chance chance;
  private final Servers fleet;
  private final Scenario.Endpoints is;
  private final double speed;
  private final int cores;
  private final double ofCore; // how fast one is
  private final Set<Visit> visits = new LinkedHashSet<>();
  private final ArrayDeque<Work> queue = new ArrayDeque<>();
  private final ArrayDeque<Runnable> deferred = new ArrayDeque<>(); // what a pause holds up
  private final ArrayDeque<Bit> cold = new ArrayDeque<>(); // what was sent while it was cold
  private double coldUs;
  private int life; // of the process: what an earlier one began is nothing to this one
  private int running;
  long startedMs;
  boolean draining;
  private boolean up;
  boolean left; // for good

  Server(World world, Servers fleet, String id, String zone, int cell, String address) {
    this.world = world;
    this.fleet = fleet;
    this.id = id;
    this.zone = zone;
    this.cell = cell;
    this.address = address;
    is = world.scenario().endpoints();
    host = new Host(id, zone);
    chance = world.chance().named("endpoint " + id);
    speed = is.speed().draw(chance);
    cores = (int) Math.max(1, Math.round(is.cores()));
    ofCore = is.cores() * speed / cores;
  }

  @Override
  public Host host() {
    return host;
  }

  double weight() {
    return speed;
  }

  boolean up() {
    return up;
  }

  // ---- Its process

  /** Starts; {@code atMs} is 0 where it has run for long and is warm. */
  void start(long atMs) {
    startedMs = atMs;
    life++;
    up = true;
    draining = false;
    world.fabric().listen(address, this);
  }

  /** Its process ends at once, and its connections with it. */
  void die() {
    stop();
    world.fabric().kill(host);
    visits.clear();
  }

  /** The machine says nothing any more. */
  void vanish() {
    stop();
    world.fabric().vanish(host);
  }

  /** The machine is back, and a process on it may start. */
  void back() {
    world.fabric().back(host);
    visits.clear();
  }

  private void stop() {
    up = false;
    life++;
    running = 0;
    queue.forEach(work -> work.push.endedUs = world.now());
    queue.clear();
    deferred.clear();
    cold.clear();
    coldUs = 0;
    world.fabric().unlisten(address);
  }

  /** Connects to it never come up, or do again; what is open stays so. */
  void listens(boolean now) {
    world.fabric().unlisten(address);
    if (!now) {
      world.fabric().listen(address, NOBODY);
    } else if (up) {
      world.fabric().listen(address, this);
    }
  }

  private static final Fabric.Entry NOBODY =
      new Fabric.Entry() {
        private final Host nowhere = Fabric.nowhere();

        @Override
        public Host host() {
          return nowhere;
        }

        @Override
        public void connected(End end) {
          throw new IllegalStateException("nobody is there");
        }
      };

  void pause(boolean now) {
    ills.pauses += now ? 1 : -1;
    while (ills.pauses == 0 && !deferred.isEmpty()) {
      deferred.poll().run();
    }
  }

  /** What it can do of what it could do warm. */
  private double share() {
    if (startedMs == 0) {
      return 1;
    }
    double start = Double.parseDouble(world.scenario().told().get("rules.start_capacity"));
    double warmUs = Double.parseDouble(world.scenario().told().get("rules.warm_up_ms")) * 1000;
    double age = world.now() - startedMs * 1000.0;
    return age >= warmUs ? 1 : start + (1 - start) * age / warmUs;
  }

  // ---- Connections

  @Override
  public void connected(End end) {
    Visit visit = new Visit(end);
    end.owner(visit);
    visits.add(visit);
    visit.rests();
  }

  /** One connection to it. */
  private final class Visit implements End.Owner {
    private final End end;
    private final int of = life;
    private final Incoming incoming = new Incoming();
    private Ask ask; // of the request that comes or is carried out
    private Ask.Push push;
    private boolean noted;
    private Work work; // that was handed on
    private long restsUs;
    private boolean isOver;

    Visit(End end) {
      this.end = end;
    }

    void rests() {
      long since = restsUs = world.now();
      world
          .time()
          .after(
              Math.round(is.idleMs() * 1000),
              () -> {
                if (!isOver
                    && work == null
                    && !incoming.headCame()
                    && restsUs == since
                    && of == life) {
                  over(false);
                }
              });
    }

    @Override
    public void readable(End same) {
      if (isOver || of != life) {
        return;
      }
      byte[] bytes = end.readAll();
      if (bytes.length > 0) {
        incoming.add(bytes, end.firstSentUs());
      }
      if (incoming.headCame() && !noted) {
        noted = true;
        head();
      }
      if (!isOver && incoming.whole() && work == null) {
        whole();
      }
      if (!isOver && end.over()) {
        gone();
      }
    }

    /** Whoever sent it gave it up. */
    private void gone() {
      if (push != null && push.endedUs == 0) {
        push.endedUs = world.now();
      }
      if (work != null) {
        work.gone = true;
        queue.remove(work);
      }
      over(false);
    }

    private void over(boolean hard) {
      isOver = true;
      visits.remove(this);
      if (push != null && push.endedUs == 0) {
        push.endedUs = world.now();
      }
      if (hard) {
        end.breakOff();
      } else {
        end.close();
      }
    }

    private void head() {
      ask = world.oracle().ask(incoming.field("request-id"));
      if (ask == null) {
        world
            .oracle()
            .broke(
                Rule.TRUE_CONTENT,
                null,
                "a request to "
                    + id
                    + " that no client sent: "
                    + incoming.word(0)
                    + " "
                    + incoming.word(1));
        answer(404, "", null);
        return;
      }
      push =
          world
              .oracle()
              .pushed(ask, fleet.process(end.other()), id, zone, cell, incoming.headSentUs());
      world
          .trace()
          .note(
              "push",
              "op",
              ask.id,
              "to",
              id,
              "from",
              end.other().toString(),
              "sent",
              incoming.headSentUs() - World.START_US,
              "n",
              ask.pushes.size());
      if (ills.resetsWhen.equals("before")
          && chance.named("before " + ask.id).happens(ills.resets)) {
        world.trace().note("reset", "op", ask.id, "at", id, "when", "before");
        over(true);
      }
    }

    private void whole() {
      if (ask == null) {
        return;
      }
      Scenario.Kind kind = ask.kind;
      int bodyBytes = kind.effect().equals("idempotent") ? 0 : kind.bodyBytes();
      if (bodyBytes > 0
          && (incoming.length() != Math.max(bodyBytes, ask.id.length() + 1)
              || !incoming.start().startsWith(ask.id + " "))) {
        world
            .oracle()
            .broke(
                Rule.TRUE_CONTENT,
                ask,
                "its content came to " + id + " spoilt: " + incoming.length() + " bytes");
      }
      String timeout = incoming.field("request-timeout-ms");
      long untilUs = world.now() + 1000 * Long.parseLong(timeout == null ? "1000" : timeout);
      sent(kind.workMs() * 1000);
      if (draining
          || queue.size() >= is.queue()
          || visits.size() > Math.min(is.connections(), ills.connections)) {
        world
            .trace()
            .note(
                "away",
                "op",
                ask.id,
                "at",
                id,
                "why",
                draining ? "drain" : queue.size() >= is.queue() ? "queue" : "connections");
        answer(503, "turned away", "1");
        return;
      }
      world.oracle().taken(ask, push);
      work = new Work(this, ask, push, untilUs);
      queue.add(work);
      serve();
    }

    void answer(int status, String text, String notStarted) {
      push(status, text.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1), notStarted, false);
    }

    void push(int status, byte[] body, String notStarted, boolean chunks) {
      String load =
          !is.chunks()
                  && is.reportShare() > 0
                  && ask != null
                  && chance.named("report " + ask.id).happens(is.reportShare())
              ? "TEXT inflight=" + running + ", queue=" + queue.size()
              : null;
      boolean last = draining;
      byte[] bytes =
          Incoming.message(
              "HTTP/1.1 " + status + " x",
              body,
              chunks,
              "Not-Started",
              notStarted,
              "Server-Load",
              load,
              "Connection",
              last ? "close" : null);
      if (push != null) {
        push.endedUs = world.now();
      }
      drip(bytes, 0, last);
    }

    /** What is large comes as a disk gives it, not at once. */
    private void drip(byte[] bytes, int from, boolean last) {
      if (isOver || this.of != life && from > 0) {
        return;
      }
      int to = Math.min(bytes.length, from + DRIP);
      Ask.Push of = push;
      end.send(
          from == 0 && to == bytes.length ? bytes : java.util.Arrays.copyOfRange(bytes, from, to),
          of == null || to < bytes.length ? null : () -> of.read = true);
      if (to == bytes.length) {
        done(last);
      } else {
        world.time().after(DRIP_US, () -> drip(bytes, to, last));
      }
    }

    private void done(boolean last) {
      ask = null;
      push = null;
      noted = false;
      work = null;
      incoming.next();
      if (last) {
        over(false);
      } else {
        rests();
        if (incoming.waiting() > 0 || incoming.headCame()) {
          readable(end);
        }
      }
    }
  }

  // ---- Work

  /** Counts what a sidecar that knows it to be cold has sent, and falls where that is too much. */
  private void sent(double workUs) {
    double windowUs = Double.parseDouble(world.scenario().told().get("rules.fall_ms")) * 1000;
    double multiple = Double.parseDouble(world.scenario().told().get("rules.fall_multiple"));
    double share = share();
    if (share >= 1) {
      return;
    }
    cold.add(new Bit(world.now(), workUs));
    coldUs += workUs;
    while (!cold.isEmpty() && world.now() - cold.peek().atUs > windowUs) {
      coldUs -= cold.poll().workUs;
    }
    double most =
        multiple * share * is.cores() * speed * windowUs * world.scenario().rules().coldSlack();
    if (coldUs > most && fleet.allKnow(id, startedMs)) {
      world
          .oracle()
          .broke(
              Rule.COLD_KEPT,
              null,
              String.format(
                  Locale.ROOT,
                  "%s got %.0f ms of work within %.0f ms and bears %.0f",
                  id,
                  coldUs / 1000,
                  windowUs / 1000,
                  most / 1000));
      cold.clear();
      coldUs = 0;
    }
  }

  private void serve() {
    while (running < cores && !queue.isEmpty() && ills.pauses == 0) {
      begin(queue.poll());
    }
    if (ills.pauses > 0 && !queue.isEmpty() && deferred.isEmpty()) {
      deferred.add(this::serve);
    }
  }

  private void begin(Work work) {
    if (world.now() > work.untilUs) {
      world.trace().note("expired", "op", work.ask.id, "at", id);
      work.visit.answer(504, "too late", "1");
      return;
    }
    running++;
    Scenario.Kind kind = work.ask.kind;
    boolean first =
        kind.effect().equals("idempotent")
            || kind.effect().equals("at_most_once")
            || fleet
                .group(kind, this)
                .first(work.ask.key, world.now(), Math.round(kind.windowMs() * 1000));
    if (first) {
      world.oracle().effect(work.ask, id);
    }
    world.trace().note("begin", "op", work.ask.id, "at", id, "first", first);
    double crowd = Math.max(0, running + queue.size() - is.chokeAbove()) * is.choke();
    // How much work it is belongs to the op, wherever and in whatever order it comes.
    double us =
        world.chance().named("work " + work.ask.id).logNormal(kind.workMs() * 1000, kind.spread())
            * ills.slow
            / share()
            / ofCore
            * (1 + crowd / is.cores());
    int of = life;
    world
        .time()
        .after(
            Math.round(first ? us : us / 10),
            () -> {
              if (of == life) {
                finish(work);
              }
            });
  }

  private void finish(Work work) {
    if (ills.pauses > 0) {
      int of = life;
      deferred.add(
          () -> {
            if (of == life) {
              finish(work);
            }
          });
      return;
    }
    running--;
    if (!work.gone && !work.visit.isOver && ills.silent == 0) {
      reply(work);
    }
    serve();
  }

  private void reply(Work work) {
    Visit visit = work.visit;
    Ask ask = work.ask;
    Chance own = chance.named(ask.id);
    boolean error = own.happens(ills.errors);
    boolean reset = !ills.resetsWhen.equals("before") && own.happens(ills.resets);
    byte[] body = Incoming.body(ask.id + " " + id + " ", ask.kind.answerBytes());
    world.trace().note("reply", "op", ask.id, "at", id, "status", error ? 500 : reset ? 0 : 200);
    if (reset) {
      if (ills.resetsWhen.equals("answer")) {
        byte[] all = Incoming.message("HTTP/1.1 200 x", body, false);
        visit.end.send(
            java.util.Arrays.copyOf(
                all,
                all.length - 1 - (int) own.between(0L, Math.min(body.length - 1, all.length - 20))),
            null);
      }
      visit.over(true);
    } else if (error) {
      visit.answer(500, "failed", null);
    } else if (own.happens(ills.garbled)) {
      visit.end.send(Incoming.body("\u0001\u0002 no answer\r\n\r\n", 40), null);
      visit.over(false);
    } else {
      visit.push(200, body, null, is.chunks());
    }
  }
}
