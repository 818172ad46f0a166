package dillcross.net;

import dillcross.model.Idempotency;
import dillcross.model.RequestClass;
import dillcross.sidecar.IncomingRequest;
import dillcross.sidecar.RequestCoordinator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.logging.Logger;

/** The clients' side: requests to ops, answers to clients. */
final class Listener implements Part, Network.Taker {
  private static final long LINGER_US =
      500_000; // for the other side to read a last answer and close
  private static final long BRING_US =
      2_000_000; // that a request may take to come, or an answer to be read
  private static final long HEAD_US = 2_500_000; // ... or its head
  private static final long BODY_US =
      4_000_000; // with a body that is held: 64 KiB at the rate of a slow client, and slack
  private static final long IDLE_US =
      20_000_000; // without a request: who asks once and stays must not add up
  // At the limit: that a new client has to begin, to bring all of its request, and to come back
  // with the next.
  private static final long NEW_US = 200_000;
  private static final long BEGUN_US = 1_000_000;
  private static final long RECENT_US = 2_000_000;
  private static final long LOG_US = 10_000_000;
  private static final Logger LOG = Logger.getLogger(Listener.class.getName());

  private final RequestCoordinator core;
  private final LongSupplier clock;
  private Map<String, RequestClass> categories = Map.of();
  private long mostTtlUs;
  private final int most; // connections
  private final long mostBody; // bytes
  private final Budget budget;
  private final Set<Connection> connections =
      new LinkedHashSet<>(); // those that carry nothing in the order since when
  private final Set<String> open = new HashSet<>(); // ids of requests that wait for their answer
  private Network.Entrance server;
  private boolean paused;
  private long loggedUs;
  private final Life life;

  Listener(
      RequestCoordinator core,
      Life life,
      LongSupplier clock,
      int most,
      long mostBody,
      Budget budget) {
    this.mostBody = mostBody;
    this.core = core;
    this.life = life;
    this.clock = clock;
    this.most = most;
    this.budget = budget;
  }

  /** Takes in what has come from who waits for an answer, which may be its end. */
  void look(Caller caller) {
    Connection connection = caller.connection();
    if (connection.isOpen()
        && connection.source
            == null) { // of a body that is moved the end is seen as it is passed on
      connection.readable();
    }
  }

  /** What may be asked for from now on; requests that are open go on. */
  void serves(Map<String, RequestClass> served, long longestTtlUs) {
    categories = served;
    mostTtlUs = longestTtlUs;
  }

  void serve(Network.Entrance on) {
    server = on;
  }

  // ---- Connections

  @Override
  public Network.Ear accepted(Wire wire) {
    Connection connection = new Connection(wire, this, true, Reader.WHOLE, mostBody, budget);
    connection.connected = true;
    connection.idleUs = clock.getAsLong();
    connections.add(connection);
    if (connections.size() >= most && !closeOne(connection)) {
      pause(true); // at the limit an accept would fail, and fail again, and spin
    }
    return connection;
  }

  /** It carries nothing, and nothing is lost when it is closed. */
  private static boolean idle(Connection connection) {
    return connection.user == null && !connection.partial() && connection.out.size() == 0;
  }

  /**
   * Makes room among those with no open request: who has said nothing, or half a request, and had
   * the time to, and who brought none of late; or else who asked once at most and brought none for
   * the longest. Who asked again and again comes last.
   */
  private boolean closeOne(Connection but) {
    Connection last = null;
    for (Connection connection : connections) {
      if (connection != but
          && connection.user == null
          && connection.out.size() == 0
          && connection.isOpen()) {
        long mayUs = connection.asked > 0 ? RECENT_US : connection.partial() ? BEGUN_US : NEW_US;
        if (clock.getAsLong() - connection.idleUs > mayUs) {
          last = connection;
          break;
        }
        last = last == null || last.asked > 1 && connection.asked < 2 ? connection : last;
      }
    }
    return last != null && part(last);
  }

  /**
   * Closes what seems to carry nothing; but for a request that has come and is not read yet, which
   * would be lost.
   */
  private static boolean part(Connection connection) {
    boolean stirs = connection.stirs();
    if (stirs) {
      connection.again();
    } else {
      connection.close();
    }
    return !stirs;
  }

  /**
   * A good part of the limit is used up: clients may have a limit of their own, and come to its end
   * before we do.
   */
  private boolean crowded() {
    return connections.size() > most * 3 / 8;
  }

  private void pause(boolean now) {
    if (paused != now && server != null && server.isOpen()) {
      paused = now;
      try {
        if (now) {
          if (clock.getAsLong() - loggedUs > LOG_US) { // not at every turn of a crowd
            loggedUs = clock.getAsLong();
            LOG.warning(
                "at the limit of client connections, all with open requests; new ones wait");
          }
          server.accepts(false);
        } else {
          server.accepts(true);
        }
      } catch (java.io.IOException closed) {
        paused = false;
      }
    }
  }

  @Override
  public void closed(Connection connection) {
    connections.remove(connection);
    if (connection.user instanceof Waiting waiting) {
      connection.user = null;
      open.remove(waiting.id());
      core.onClientDisconnected(clock.getAsLong(), waiting.op());
    }
    pause(false);
    connection.free();
  }

  // ---- Requests

  @Override
  public void message(Connection connection, Message request, int fault) {
    if (request != null) {
      request(connection, request);
    } else {
      reject(connection, Message.answer(fault, "malformed request, or no room for it"));
    }
  }

  @Override
  public void came(Connection connection) {
    if (connection.user instanceof Waiting waiting) {
      core.onBodyComplete(clock.getAsLong(), waiting.op());
    }
  }

  private void request(Connection connection, Message request) {
    connection.asked++;
    String path = request.target();
    if (path.equals(Names.HEALTH_PATH)) {
      boolean up = life.healthy();
      answer(connection, request, Message.answer(up ? 200 : 503, up ? "ready" : "not ready"));
      return;
    }
    if (connection.ended) {
      connection.close(); // a client that closes has gone
      return;
    }
    int second = path.indexOf('/', 1);
    RequestClass category =
        categories.get(second < 0 ? path.substring(1) : path.substring(1, second));
    if (category == null) {
      reject(connection, Message.answer(404, "unknown category"));
      return;
    }
    String method = category.idempotency() == Idempotency.IDEMPOTENT ? "GET" : "POST";
    String fault = fault(request, category);
    if (!request.first().equals(method)) {
      reject(connection, Message.notAllowed(method));
    } else if (fault != null) {
      reject(connection, Message.answer(400, fault));
    } else {
      String id = request.field(Names.ID);
      long ttlUs = Math.min(mostTtlUs, Long.parseLong(request.field(Names.TIMEOUT)) * 1000);
      ttlUs = life.within(ttlUs, mostTtlUs, clock.getAsLong());
      open.add(id);
      long op =
          core.onRequest(
              clock.getAsLong(),
              new IncomingRequest(
                  new Caller(connection, request),
                  request,
                  request.field(Names.TENANT),
                  category.name(),
                  ttlUs,
                  "1".equals(request.field(Names.REPEAT)),
                  request.flows()));
      connection.user = new Waiting(op, id);
    }
  }

  /**
   * What is wrong with it beside its method, or null. An endpoint would turn it away, or choke on
   * it to the cost of whatever else waits on that connection; so it goes no further.
   */
  private String fault(Message request, RequestClass category) {
    String timeout = request.field(Names.TIMEOUT);
    boolean keyed = category.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY;
    if (request.first().equals("GET") && request.body().length > 0) {
      return "GET takes no body";
    } else if (timeout == null || !timeout.matches("[0-9]{1,9}") || Long.parseLong(timeout) == 0) {
      return Names.TIMEOUT + " has to be a whole number of milliseconds above 0";
    } else if (!plain(request.field(Names.ID))) {
      return Names.ID + " is missing or malformed";
    } else if (keyed && !plain(request.field(Names.KEY))) {
      return Names.KEY + " is missing or malformed"; // a repeat could not be recognised
    } else if (open.contains(request.field(Names.ID))) {
      return Names.ID + " is that of a request that is open"; // its answer belongs to another
    }
    return null;
  }

  private static boolean plain(String text) {
    return text != null && text.matches("[!-~]{1,128}");
  }

  /** Who waits for an op: the connection that it came on, and what it asked for. */
  record Caller(Connection connection, Message request) {}

  /** What a connection waits for: the op, and the client's own name for it. */
  private record Waiting(long op, String id) {}

  // ---- Answers

  /** A bad request is answered, its connection closed, and nothing goes further. */
  private void reject(Connection connection, Message answer) {
    connection.dropRest(connection.mayDrop);
    rests(connection);
    write(connection, answer);
  }

  void answer(Object client, Message answer) {
    Caller caller = (Caller) client;
    caller.connection().user = null;
    open.remove(caller.request().field(Names.ID));
    answer(caller.connection(), caller.request(), answer);
  }

  private void answer(Connection connection, Message request, Message answer) {
    rests(connection);
    connection.closing = closes(connection, request);
    if (connection.reader.flows()) {
      connection.dropRest(mostBody); // it still comes
    }
    if (!connection.closing && request.old()) {
      answer.fields().put("connection", "keep-alive");
    }
    write(connection, answer);
    goOn(connection);
  }

  /**
   * Who asks once and stays would hold its place for good; told so with the answer, no next request
   * crosses the close.
   */
  private boolean closes(Connection connection, Message request) {
    return life.leaving()
        || !request.keepsAlive()
        || crowded() && connection.asked < 2
        || connection.overrun();
  }

  private void goOn(Connection connection) {
    pause(false); // it may make room now
    if (!connection.closing) {
      connection.resume();
      if (connection.in.size() > 0) {
        connection.again();
      }
    }
  }

  /** Begins an answer whose rest follows as it comes; whether that is to be written in chunks. */
  boolean pass(Caller caller, Message answer) {
    Message head =
        answer.as(Message.answer(200, answer.passedOn(), Message.NOTHING)).readBy(caller.request());
    Connection connection = caller.connection();
    connection.closesAfter =
        head.rest() == Message.TO_THE_END || closes(connection, caller.request());
    if (connection.closesAfter) {
      head.fields().put("connection", "close");
    }
    connection.write(head);
    return head.rest() == Message.UNKNOWN;
  }

  /** It has come to its end, or broke off, which the client is to see. */
  void passed(Caller caller, boolean whole) {
    Connection connection = caller.connection();
    connection.user = null;
    open.remove(caller.request().field(Names.ID));
    rests(connection);
    if (!whole && connection.closesAfter && caller.request().old()) {
      connection.cut();
    } else if (!whole || connection.closesAfter) {
      connection.finish();
    }
    goOn(connection);
  }

  /** From now on it carries nothing: it goes to the end of those that wait to be closed. */
  private void rests(Connection connection) {
    connection.idleUs = clock.getAsLong();
    connection.partialUs = 0; // what comes next is timed from its own first byte
    connections.remove(connection);
    connections.add(connection);
  }

  private static void write(Connection connection, Message answer) {
    if (connection.closing) {
      answer.fields().put("connection", "close");
    }
    connection.write(answer);
  }

  // ---- The end

  /**
   * Where another process accepts from the socket too, what is in its queue is left to that one.
   */
  void stopAccepting(boolean shared) {
    try {
      if (server != null && shared) {
        server.accepts(false);
      } else if (server != null) {
        server.close();
      }
    } catch (java.io.IOException closed) {
      LOG.fine("the listening socket has gone already");
    }
    server = null; // nothing makes it accept again
  }

  /** Requests that wait for their answer. */
  int open() {
    return open.size();
  }

  /** Nothing more can come on any connection, and all answers are written. */
  boolean drained() {
    return connections.stream().allMatch(l -> l.closing && l.out.size() == 0);
  }

  /**
   * Who brings no whole request in time is told so, or closed where it has said nothing; who does
   * not read its answer is closed: a slow client would use up the limit. What moves, if only
   * slowly, may go on.
   */
  void expire(long nowUs) {
    boolean lettingGo = life.lettingGo(nowUs);
    for (Connection connection : List.copyOf(connections)) {
      connection.look(nowUs);
      long stillUs = nowUs - Math.max(connection.movedUs, connection.idleUs);
      boolean rests = connection.user == null && idle(connection);
      if (connection.closing) {
        if (stillUs > (connection.out.size() > 0 ? BRING_US : LINGER_US)) {
          connection.close();
        }
      } else if (connection.user instanceof Waiting waiting) {
        carried(connection, waiting, nowUs, stillUs);
      } else if (rests && connection.asked > 0) {
        connection.partialUs = 0;
        if (nowUs - connection.idleUs > (lettingGo ? 0 : crowded() ? RECENT_US : IDLE_US)) {
          part(connection);
        }
      } else if (connection.out.size() > 0 && !connection.partial()) {
        if (stillUs > BRING_US) {
          connection.close(); // it does not read its answer
        }
      } else {
        brings(connection, nowUs, rests, lettingGo);
      }
    }
  }

  /** An op with a large body either way: neither may stand still for good. */
  private void carried(Connection connection, Waiting waiting, long nowUs, long stillUs) {
    if (connection.reader.flows() && !connection.paused() && stillUs > BRING_US) {
      connection.user = null;
      open.remove(waiting.id());
      core.onClientDisconnected(nowUs, waiting.op());
      reject(connection, Message.answer(408, "the request stopped coming"));
    } else if (connection.reader.flows() && stillUs > Math.max(BRING_US, mostTtlUs)) {
      core.onBodyStalled(waiting.op());
    } else if (connection.sink != null && connection.out.size() > 0 && stillUs > IDLE_US) {
      connection.close(); // it reads nothing
    }
  }

  /**
   * A request that has not come whole: the first counts from connecting, a later one from its first
   * byte.
   */
  private void brings(Connection connection, long nowUs, boolean silent, boolean lettingGo) {
    connection.partialUs =
        connection.partialUs > 0
            ? connection.partialUs
            : connection.asked == 0 ? connection.idleUs : nowUs;
    boolean within = connection.reader.within();
    boolean late =
        nowUs - connection.partialUs > (within ? BODY_US : silent ? BRING_US : HEAD_US)
            || within && nowUs - Math.max(connection.movedUs, connection.partialUs) > BRING_US;
    if (silent && (late || lettingGo && nowUs - connection.idleUs > NEW_US)) {
      part(connection);
    } else if (late) {
      reject(connection, Message.answer(408, "the request did not come whole in time"));
    }
  }
}
