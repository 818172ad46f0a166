package dillcross.net;

import dillcross.model.BalancerSettings;
import dillcross.model.RequestClass;
import dillcross.sidecar.NetworkCommand;
import dillcross.sidecar.RequestCoordinator;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/** The running sidecar: the parts that the network's one thread works for, and their turns. */
public final class Node implements Network.Turns {
  private static final Logger LOG = Logger.getLogger(Node.class.getName());
  private static final long MOST_REHEARSAL_US = 1_000_000;
  private static final long FIRST_LIST_US =
      3_000_000; // from the start, that a process may wait for its first list
  private static final int MOST_TRACES = 20;
  private static final int SPARE_DESCRIPTORS =
      48; // files, selector, listening socket, list, and what closes
  private static final long ACCEPT_US =
      500_000; // after the order to stop, new connections still come
  private static final long QUIET_US = 150_000;
  private static final long EXPIRY_US = 200_000;

  private final RequestCoordinator core;
  private final LongSupplier clock;
  private final Network network;
  private final Listener listener;
  private final Endpoints endpoints;
  private final Discovery discovery;
  private final Budget budget; // of all rings
  private final CountDownLatch warm = new CountDownLatch(1);
  private final CountDownLatch done = new CountDownLatch(1);
  private final Life life = new Life(); // the selector thread's alone
  private final AdminEndpoint admin = new AdminEndpoint(life, this::now);
  private volatile long mostTtlUs; // of all settings so far: an op may be open from any of them
  private final Queue<Runnable> changes =
      new ConcurrentLinkedQueue<>(); // to carry out between two turns
  private Members members; // null where this sidecar knows of no others
  private String adminAddress; // the operators' address; null where they have none
  private String self; // the address at which it asks itself to get warm; null where there is none
  private volatile Network.Entrance entrance; // the clients'
  private volatile boolean starting; // the two above are set
  private volatile boolean
      inherited; // the listening socket: another process may accept from it too
  private final long startedUs;
  private final int rehearsals;
  private long rehearsed;
  private long expiredUs;
  private int faults;
  private long now; // the clock when this turn began to gather
  private boolean accepting = true;
  private boolean listFirst; // before it is warm

  /**
   * {@code calls} to itself it makes before it is ready, over its own network and through every
   * part.
   */
  public Node(
      Network network,
      int calls,
      RequestCoordinator core,
      LongSupplier clock,
      Iterable<RequestClass> categories,
      long mostTtlUs,
      String discoveryAddress,
      long connectUs,
      long keepUs,
      int descriptors,
      long mostBody,
      long room) {
    this.network = network;
    rehearsals = calls;
    this.core = core;
    this.clock = clock;
    look();
    startedUs = now;
    budget = new Budget(room);
    // Clients need more: some ask once and stay, some say nothing; an endpoint's connection serves
    // one op after another.
    int third = (descriptors - SPARE_DESCRIPTORS) / 3;
    listener = new Listener(core, life, this::now, 2 * third, mostBody, budget);
    discovery = new Discovery(network, core, this::now, discoveryAddress, budget);
    endpoints = new Endpoints(network, core, this::now, third, mostBody, budget, this::latest);
    limits(categories, mostTtlUs, connectUs, keepUs);
  }

  /**
   * Takes in what has come of the list and of a client since this turn gathered: what is sent next
   * must not miss it.
   */
  private void latest(Object client) {
    discovery.look();
    if (client != null) {
      listener.look((Listener.Caller) client);
    }
  }

  private void limits(Iterable<RequestClass> categories, long ttlUs, long connectUs, long keepUs) {
    Map<String, RequestClass> byName = new LinkedHashMap<>();
    categories.forEach(c -> byName.put(c.name(), c));
    mostTtlUs = Math.max(mostTtlUs, ttlUs);
    listener.serves(byName, ttlUs);
    endpoints.limits(
        connectUs, keepUs - keepUs / 10); // a tenth early: the endpoint's clock began before ours
    discovery.limits(Math.max(connectUs, 1_000_000));
  }

  /**
   * Takes new settings on; what is open, kept or learned stays. To be called {@link #between} two
   * turns.
   */
  public void settings(
      BalancerSettings settings,
      Iterable<RequestClass> categories,
      long ttlUs,
      long connectUs,
      long keepUs) {
    core.applySettings(now, settings);
    limits(categories, ttlUs, connectUs, keepUs);
  }

  /** Has the selector thread make a change, in one go between two turns, and returns then. */
  public void between(Runnable change) throws InterruptedException {
    CountDownLatch made = new CountDownLatch(1);
    changes.add(
        () -> {
          try {
            change.run();
          } finally {
            made.countDown(); // a fault in it is logged by the turn, and must not hold later
            // reloads
          }
        });
    network.wake();
    made.await();
  }

  /**
   * Has the list asked for at once, and is not warm before it was told, for a while: where lists
   * are pushed what the agent has counts as told from this process's first moment on, and what it
   * was started with may be old. Before {@link #open}.
   */
  public void asksFirst() {
    listFirst = true;
    core.onDiscoveryMoved(now);
  }

  /** Takes part among others, from the first turn on; before {@link #open}. */
  public void joins(Members own) {
    members = own;
    admin.shows(own);
  }

  /**
   * Begins to turn, and opens the admin endpoint if they have one: they may ask from the first
   * moment on.
   */
  public void open(InetSocketAddress adminAt) throws IOException {
    network.start(this);
    if (members != null) {
      members.open(network);
      network.wake();
    }
    if (adminAt != null) {
      adminAddress = network.bind(adminAt, admin).address();
      LOG.info(() -> "admin endpoint on " + adminAddress);
    }
  }

  /**
   * Warms up and serves at that address, or where it is null on the listening socket that this
   * process inherited.
   */
  public void start(InetSocketAddress listen) throws IOException, InterruptedException {
    opens(() -> begin(listen));
    warm.await();
    if (inherited) { // only now: what it accepts it has to serve at once
      opens(
          () -> {
            entrance = network.bind(null, listener);
            listener.serve(entrance);
          });
    }
    between(this::ready);
  }

  private interface Opening {
    void open() throws IOException;
  }

  /**
   * Between two turns, and not at all once it is to stop: what is accepted then nobody would
   * answer.
   */
  private void opens(Opening opening) throws IOException, InterruptedException {
    IOException[] fault = new IOException[1];
    between(
        () -> {
          try {
            if (!life.stopping()) {
              opening.open();
            }
          } catch (IOException e) {
            fault[0] = e;
          }
        });
    if (fault[0] != null) {
      throw fault[0];
    }
  }

  /**
   * Listens and has itself warmed up by the turns; {@link #ready} is called once it is {@link
   * #warm}.
   */
  public void begin(InetSocketAddress listen) throws IOException {
    inherited = listen == null;
    if (!inherited) {
      entrance = network.bind(listen, listener);
      listener.serve(entrance);
      self = entrance.address();
    } else if (network.inherits()) {
      self = adminAddress; // through the clients' socket the process before this one would be asked
    } else {
      throw new IOException(
          "NODE_FD names no listening socket that can be taken over (descriptor 0)");
    }
    starting = true;
    network.wake();
  }

  public boolean warm() {
    return warm.getCount() == 0;
  }

  /** Says yes to those who ask whether it serves; to be called between two turns. */
  public void ready() {
    life.ready(now);
    if (life.able()) { // it was not told to stop meanwhile
      LOG.info(
          () -> "ready on " + entrance.address() + " after " + (now - startedUs) / 1000 + " ms");
    }
  }

  /**
   * Warms up before the first client comes: asks itself for its health, or at the admin endpoint,
   * over real sockets and through every filter. The answers belong to no op, so the core passes
   * them over.
   */
  private void rehearse() {
    boolean enough = rehearsed >= rehearsals || now - startedUs > MOST_REHEARSAL_US;
    enough |= self == null;
    if (!enough && endpoints.busy()
        || listFirst && !core.hasReceivedWatchEvent() && now - startedUs <= FIRST_LIST_US) {
      return;
    }
    for (int i = 0; i < 4 && !enough; i++) {
      Message request =
          Message.request(
              "GET",
              inherited ? Names.READY_PATH : Names.HEALTH_PATH,
              Map.of("host", self),
              Message.NOTHING);
      endpoints.push(
          new NetworkCommand.SendAttempt(
              -1 - rehearsed++, 0, null, self, self, request, now + MOST_REHEARSAL_US));
    }
    if (enough) {
      endpoints.forget(self);
      warm.countDown();
    }
  }

  /**
   * Has the list asked for at another address, at once; all else stays. To be called {@link
   * #between} two turns.
   */
  public void moveDiscovery(String address) {
    discovery.move(address);
    core.onDiscoveryMoved(now);
  }

  /**
   * Stops accepting when new connections have ceased to come, answers what it has taken, then is
   * done.
   */
  public void stop() throws InterruptedException {
    askStop();
    boolean stopped =
        false; // the loop may not have started; new settings may bring a longer TTL meanwhile
    for (long waitedUs = 0;
        !stopped && waitedUs < mostTtlUs + 2 * ACCEPT_US;
        waitedUs += ACCEPT_US) {
      stopped = done.await(ACCEPT_US, TimeUnit.MICROSECONDS);
    }
  }

  /** Has the next turn begin to stop; it is {@link #done} some turns later. */
  public void askStop() {
    changes.add(
        () -> {
          life.stop(now);
          if (members != null) {
            members.leave(now);
          }
          LOG.info("stopping");
        });
    network.wake();
  }

  public boolean done() {
    return done.getCount() == 0;
  }

  /**
   * What it holds at the moment; when nothing is carried out all of it is 0 but for what
   * connections that rest may keep, and timers for the list and for the module to wake.
   */
  public Held held() {
    return new Held(
        core.trackedRequests(),
        core.pendingTimers(),
        endpoints.exchanges(),
        listener.open(),
        budget.taken(),
        faults);
  }

  /**
   * Ops and timers in the core, pushes and requests on the network, bytes of the buffers' limit,
   * and turns that failed.
   */
  public record Held(int ops, int timers, int pushes, int requests, long bytes, int faults) {}

  @Override
  public void look() {
    now = clock.getAsLong();
    if (members != null) {
      members.look(now);
    }
  }

  private long now() {
    return now;
  }

  @Override
  public long dueInUs() {
    long due = Math.min(core.nextTimerUs(), Math.min(endpoints.dueUs(), discovery.dueUs()));
    due = members == null ? due : Math.min(due, members.dueUs());
    return Math.min(due - clock.getAsLong(), life.stopping() ? 5_000 : EXPIRY_US);
  }

  @Override
  public void turn() {
    try {
      look();
      endpoints.expire(now);
      for (Runnable change; (change = changes.poll()) != null; ) {
        change.run();
      }
      discovery.expire(now);
      if (members != null) {
        members.turn(now);
      }
      if (starting && warm.getCount() > 0) {
        rehearse();
      }
      do {
        for (NetworkCommand order; (order = core.next(now)) != null; ) {
          carryOut(order);
        }
      } while (endpoints.sendUp());
      if (now - expiredUs >= EXPIRY_US || life.stopping() && life.lettingGo(now)) {
        expiredUs = now;
        listener.expire(now);
        admin.expire(now);
      }
      if (life.stopping()) {
        shutDown();
      }
    } catch (RuntimeException broken) {
      if (faults++ < MOST_TRACES) { // one that comes back at every turn must not fill the log
        LOG.log(Level.SEVERE, "a turn of the loop failed", broken);
      }
    }
  }

  private void carryOut(NetworkCommand order) {
    if (order instanceof NetworkCommand.SendAttempt push) {
      endpoints.push(push);
    } else if (order instanceof NetworkCommand.AbandonAttempt giveUp) {
      endpoints.giveUp(giveUp);
    } else if (order instanceof NetworkCommand.ForwardResponse ack) {
      Message answer = (Message) ack.content();
      listener.answer(ack.client(), Message.answer(200, answer.passedOn(), answer.body()));
    } else if (order instanceof NetworkCommand.StartStreaming pass) {
      Listener.Caller caller = (Listener.Caller) pass.client();
      Message answer = (Message) pass.content();
      endpoints.passOn(answer, caller.connection(), listener.pass(caller, answer));
    } else if (order instanceof NetworkCommand.FinishStreaming passed) {
      listener.passed((Listener.Caller) passed.client(), passed.complete());
    } else if (order instanceof NetworkCommand.ForwardClientError reject) {
      listener.answer(
          reject.client(), Message.answer(((Message) reject.content()).status(), "turned down"));
    } else if (order instanceof NetworkCommand.RejectRequest nack) {
      Message answer = Message.answer(503, "turned away, another try is harmless");
      if (nack.retryAfterUs() > 0) {
        answer.fields().put(Names.RETRY_AFTER, seconds(nack.retryAfterUs()));
      }
      listener.answer(nack.client(), answer);
    } else if (order instanceof NetworkCommand.FailRequest dead) {
      listener.answer(dead.client(), Message.answer(502, "failed"));
    } else if (order instanceof NetworkCommand.CloseConnections forget) {
      endpoints.forget(forget.endpoint());
    } else if (order instanceof NetworkCommand.WatchEndpoints watch) {
      discovery.watch(watch);
    }
  }

  private static String seconds(long us) {
    long ms = (us + 999) / 1000;
    return String.format(java.util.Locale.ROOT, "%d.%03d", ms / 1000, ms % 1000);
  }

  private void shutDown() {
    long forUs = life.stoppingForUs(now);
    if (accepting && (inherited || forUs > ACCEPT_US)) {
      accepting = false;
      listener.stopAccepting(inherited);
    }
    if (forUs > ACCEPT_US) {
      boolean quiet = forUs > ACCEPT_US + QUIET_US; // a request may be on its way to us still
      if (quiet && core.openRequests() == 0 && listener.drained()
          || forUs > mostTtlUs + ACCEPT_US + QUIET_US) {
        done.countDown();
      }
    }
  }
}
