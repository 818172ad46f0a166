package dillcross.emulator.simulation;

import dillcross.emulator.network.SocketEndpoint;
import dillcross.emulator.network.VirtualMachine;
import dillcross.emulator.network.VirtualNetwork;
import dillcross.emulator.oracle.ObservedRequest;
import dillcross.emulator.oracle.Violation.Rule;
import dillcross.emulator.random.RandomStream;
import dillcross.emulator.scenario.Scenario;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Set;

/**
 * An endpoint: a machine, a process on it that dies and starts again, cores that carry out what has
 * come whole, a queue before them, and all that can be wrong with it.
 */
final class EmulatedEndpoint implements VirtualNetwork.Entry {
  /** What goes wrong with it at the moment; each figure as long as its trouble lasts. */
  static final class Faults {
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
  private static final class Work {
    final Visit visit;
    final ObservedRequest request;
    final ObservedRequest.Attempt attempt;
    final long untilUs; // when nobody waits for it any more
    boolean isAbandoned; // whoever sent it has closed

    Work(Visit visit, ObservedRequest request, ObservedRequest.Attempt attempt, long untilUs) {
      this.visit = visit;
      this.request = request;
      this.attempt = attempt;
      this.untilUs = untilUs;
    }
  }

  private static final int DRIP = 32 << 10;
  private static final long DRIP_US = 1500;

  private record SentWork(long atUs, double workUs) {}

  final String id;
  final String zone;
  final int cell;
  final String address;
  final Faults faults = new Faults();
  private final SimulationContext world;
  private final VirtualMachine host;
  private final RandomStream random;
  private final EmulatedEndpoints fleet;
  private final Scenario.EndpointSettings settings;
  private final double speed;
  private final int cores;
  private final double ofCore; // how fast one is
  private final Set<Visit> visits = new LinkedHashSet<>();
  private final ArrayDeque<Work> queue = new ArrayDeque<>();
  private final ArrayDeque<Runnable> deferred = new ArrayDeque<>(); // what a pause holds up
  private final ArrayDeque<SentWork> recentWork =
      new ArrayDeque<>(); // what was sent while it was warming up
  private double recentWorkUs;
  private int incarnation; // of the process: what an earlier one began is nothing to this one
  private int running;
  long startedMs;
  boolean draining;
  private boolean up;
  boolean left; // for good

  EmulatedEndpoint(
      SimulationContext world,
      EmulatedEndpoints fleet,
      String id,
      String zone,
      int cell,
      String address) {
    this.world = world;
    this.fleet = fleet;
    this.id = id;
    this.zone = zone;
    this.cell = cell;
    this.address = address;
    settings = world.scenario().endpoints();
    host = new VirtualMachine(id, zone);
    random = world.random().named("endpoint " + id);
    speed = settings.speed().draw(random);
    cores = (int) Math.max(1, Math.round(settings.cores()));
    ofCore = settings.cores() * speed / cores;
  }

  @Override
  public VirtualMachine host() {
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
    incarnation++;
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
    incarnation++;
    running = 0;
    queue.forEach(work -> work.attempt.endedUs = world.now());
    queue.clear();
    deferred.clear();
    recentWork.clear();
    recentWorkUs = 0;
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

  private static final VirtualNetwork.Entry NOBODY =
      new VirtualNetwork.Entry() {
        private final VirtualMachine nowhere = VirtualNetwork.nowhere();

        @Override
        public VirtualMachine host() {
          return nowhere;
        }

        @Override
        public void connected(SocketEndpoint end) {
          throw new IllegalStateException("nobody is there");
        }
      };

  void pause(boolean now) {
    faults.pauses += now ? 1 : -1;
    while (faults.pauses == 0 && !deferred.isEmpty()) {
      deferred.poll().run();
    }
  }

  /** What it can do of what it could do warm. */
  private double share() {
    if (startedMs == 0) {
      return 1;
    }
    double start =
        Double.parseDouble(world.scenario().sidecarSettings().get("rules.start_capacity"));
    double warmUs =
        Double.parseDouble(world.scenario().sidecarSettings().get("rules.warm_up_ms")) * 1000;
    double age = world.now() - startedMs * 1000.0;
    return age >= warmUs ? 1 : start + (1 - start) * age / warmUs;
  }

  // ---- Connections

  @Override
  public void connected(SocketEndpoint end) {
    Visit visit = new Visit(end);
    end.owner(visit);
    visits.add(visit);
    visit.rests();
  }

  /** One connection to it. */
  private final class Visit implements SocketEndpoint.Owner {
    private final SocketEndpoint end;
    private final int of = incarnation;
    private final HttpStreamReader incoming = new HttpStreamReader();
    private ObservedRequest request; // of the request that comes or is carried out
    private ObservedRequest.Attempt attempt;
    private boolean noted;
    private Work work; // that was handed on
    private long restsUs;
    private boolean isOver;

    Visit(SocketEndpoint end) {
      this.end = end;
    }

    void rests() {
      restsUs = world.now();
      long since = restsUs;
      world
          .time()
          .after(
              Math.round(settings.idleMs() * 1000),
              () -> {
                if (!isOver
                    && work == null
                    && !incoming.headCame()
                    && restsUs == since
                    && of == incarnation) {
                  over(false);
                }
              });
    }

    @Override
    public void readable(SocketEndpoint same) {
      if (isOver || of != incarnation) {
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
      if (!isOver && incoming.complete() && work == null) {
        complete();
      }
      if (!isOver && end.over()) {
        abandon();
      }
    }

    /** Whoever sent it gave it up. */
    private void abandon() {
      if (attempt != null && attempt.endedUs == 0) {
        attempt.endedUs = world.now();
      }
      if (work != null) {
        work.isAbandoned = true;
        queue.remove(work);
      }
      over(false);
    }

    private void over(boolean hard) {
      isOver = true;
      visits.remove(this);
      if (attempt != null && attempt.endedUs == 0) {
        attempt.endedUs = world.now();
      }
      if (hard) {
        end.breakOff();
      } else {
        end.close();
      }
    }

    private void head() {
      request = world.oracle().request(incoming.field("request-id"));
      if (request == null) {
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
      attempt =
          world
              .oracle()
              .pushed(request, fleet.process(end.other()), id, zone, cell, incoming.headSentUs());
      world
          .trace()
          .note(
              "push",
              "op",
              request.id,
              "to",
              id,
              "from",
              end.other().toString(),
              "sent",
              incoming.headSentUs() - SimulationContext.START_US,
              "n",
              request.attempts.size());
      if (faults.resetsWhen.equals("before")
          && random.named("before " + request.id).happens(faults.resets)) {
        world.trace().note("reset", "op", request.id, "at", id, "when", "before");
        over(true);
      }
    }

    private void complete() {
      if (request == null) {
        return;
      }
      Scenario.RequestClass requestClass = request.requestClass;
      int bodyBytes = requestClass.effect().equals("idempotent") ? 0 : requestClass.bodyBytes();
      if (bodyBytes > 0
          && (incoming.length() != Math.max(bodyBytes, request.id.length() + 1)
              || !incoming.start().startsWith(request.id + " "))) {
        world
            .oracle()
            .broke(
                Rule.TRUE_CONTENT,
                request,
                "its content came to " + id + " spoilt: " + incoming.length() + " bytes");
      }
      String timeout = incoming.field("request-timeout-ms");
      long untilUs = world.now() + 1000 * Long.parseLong(timeout == null ? "1000" : timeout);
      sent(requestClass.workMs() * 1000);
      if (draining
          || queue.size() >= settings.queue()
          || visits.size() > Math.min(settings.connections(), faults.connections)) {
        world
            .trace()
            .note(
                "away",
                "op",
                request.id,
                "at",
                id,
                "why",
                draining ? "drain" : queue.size() >= settings.queue() ? "queue" : "connections");
        answer(503, "turned away", "1");
        return;
      }
      world.oracle().taken(request, attempt);
      work = new Work(this, request, attempt, untilUs);
      queue.add(work);
      serve();
    }

    void answer(int status, String text, String notStarted) {
      respond(
          status, text.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1), notStarted, false);
    }

    void respond(int status, byte[] body, String notStarted, boolean chunks) {
      String load =
          !settings.chunks()
                  && settings.reportShare() > 0
                  && request != null
                  && random.named("report " + request.id).happens(settings.reportShare())
              ? "TEXT inflight=" + running + ", queue=" + queue.size()
              : null;
      boolean last = draining;
      byte[] bytes =
          HttpStreamReader.message(
              "HTTP/1.1 " + status + " x",
              body,
              chunks,
              "Not-Started",
              notStarted,
              "Server-Load",
              load,
              "Connection",
              last ? "close" : null);
      if (attempt != null) {
        attempt.endedUs = world.now();
      }
      drip(bytes, 0, last);
    }

    /** What is large comes as a disk gives it, not at once. */
    private void drip(byte[] bytes, int from, boolean last) {
      if (isOver || (this.of != incarnation && from > 0)) {
        return;
      }
      int to = Math.min(bytes.length, from + DRIP);
      ObservedRequest.Attempt of = attempt;
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
      request = null;
      attempt = null;
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

  /**
   * Counts what a sidecar that knows it to be warming up has sent, and falls where that is too
   * much.
   */
  private void sent(double workUs) {
    double windowUs =
        Double.parseDouble(world.scenario().sidecarSettings().get("rules.fall_ms")) * 1000;
    double multiple =
        Double.parseDouble(world.scenario().sidecarSettings().get("rules.fall_multiple"));
    double share = share();
    if (share >= 1) {
      return;
    }
    recentWork.add(new SentWork(world.now(), workUs));
    recentWorkUs += workUs;
    while (!recentWork.isEmpty() && world.now() - recentWork.peek().atUs > windowUs) {
      recentWorkUs -= recentWork.poll().workUs;
    }
    double max =
        multiple
            * share
            * settings.cores()
            * speed
            * windowUs
            * world.scenario().rules().slowStartSlack();
    if (recentWorkUs > max && fleet.allKnow(id, startedMs)) {
      world
          .oracle()
          .broke(
              Rule.COLD_KEPT,
              null,
              String.format(
                  Locale.ROOT,
                  "%s got %.0f ms of work within %.0f ms and bears %.0f",
                  id,
                  recentWorkUs / 1000,
                  windowUs / 1000,
                  max / 1000));
      recentWork.clear();
      recentWorkUs = 0;
    }
  }

  private void serve() {
    while (running < cores && !queue.isEmpty() && faults.pauses == 0) {
      begin(queue.poll());
    }
    if (faults.pauses > 0 && !queue.isEmpty() && deferred.isEmpty()) {
      deferred.add(this::serve);
    }
  }

  private void begin(Work work) {
    if (world.now() > work.untilUs) {
      world.trace().note("expired", "op", work.request.id, "at", id);
      work.visit.answer(504, "too late", "1");
      return;
    }
    running++;
    Scenario.RequestClass requestClass = work.request.requestClass;
    boolean first =
        requestClass.effect().equals("idempotent")
            || requestClass.effect().equals("at_most_once")
            || fleet
                .group(requestClass, this)
                .first(work.request.key, world.now(), Math.round(requestClass.windowMs() * 1000));
    if (first) {
      world.oracle().effect(work.request, id);
    }
    world.trace().note("begin", "op", work.request.id, "at", id, "first", first);
    double crowd = Math.max(0, running + queue.size() - settings.chokeAbove()) * settings.choke();
    // How much work it is belongs to the request, wherever and in whatever order it comes.
    double us =
        world
                .random()
                .named("work " + work.request.id)
                .logNormal(requestClass.workMs() * 1000, requestClass.spread())
            * faults.slow
            / share()
            / ofCore
            * (1 + crowd / settings.cores());
    int of = incarnation;
    world
        .time()
        .after(
            Math.round(first ? us : us / 10),
            () -> {
              if (of == incarnation) {
                finish(work);
              }
            });
  }

  private void finish(Work work) {
    if (faults.pauses > 0) {
      int of = incarnation;
      deferred.add(
          () -> {
            if (of == incarnation) {
              finish(work);
            }
          });
      return;
    }
    running--;
    if (!work.isAbandoned && !work.visit.isOver && faults.silent == 0) {
      reply(work);
    }
    serve();
  }

  private void reply(Work work) {
    Visit visit = work.visit;
    ObservedRequest request = work.request;
    RandomStream own = random.named(request.id);
    boolean error = own.happens(faults.errors);
    boolean reset = !faults.resetsWhen.equals("before") && own.happens(faults.resets);
    byte[] body =
        HttpStreamReader.body(request.id + " " + id + " ", request.requestClass.answerBytes());
    world
        .trace()
        .note("reply", "op", request.id, "at", id, "status", error ? 500 : reset ? 0 : 200);
    if (reset) {
      if (faults.resetsWhen.equals("answer")) {
        byte[] all = HttpStreamReader.message("HTTP/1.1 200 x", body, false);
        visit.end.send(
            java.util.Arrays.copyOf(
                all,
                all.length - 1 - (int) own.between(0L, Math.min(body.length - 1, all.length - 20))),
            null);
      }
      visit.over(true);
    } else if (error) {
      visit.answer(500, "failed", null);
    } else if (own.happens(faults.garbled)) {
      visit.end.send(HttpStreamReader.body("\u0001\u0002 no answer\r\n\r\n", 40), null);
      visit.over(false);
    } else {
      visit.respond(200, body, null, settings.chunks());
    }
  }
}
