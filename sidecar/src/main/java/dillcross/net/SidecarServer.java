package dillcross.net;

import dillcross.net.admin.AdminEndpoint;
import dillcross.net.admin.Lifecycle;
import dillcross.net.buffer.MemoryBudget;
import dillcross.net.client.Caller;
import dillcross.net.client.ClientConnections;
import dillcross.net.client.ClientListener;
import dillcross.net.client.RequestIdTable;
import dillcross.net.discovery.DiscoveryClient;
import dillcross.net.endpoint.AttemptExecutor;
import dillcross.net.endpoint.EndpointConnectionPool;
import dillcross.net.events.RequestEvents;
import dillcross.net.membership.MembershipService;
import dillcross.net.transport.Network;
import dillcross.sidecar.NetworkCommand;
import dillcross.sidecar.RequestCoordinator;
import dillcross.sidecar.SidecarLimits;
import dillcross.sidecar.SidecarSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The running sidecar: assembles its components, and runs them in the iterations of the network's
 * event loop. All components belong to the one thread of that loop. Methods may be called from
 * other threads where their comments say so; changes by other threads go through one {@link
 * ChangeQueue}.
 */
public final class SidecarServer implements Network.EventLoopTask {
  private static final Logger LOG = Logger.getLogger(SidecarServer.class.getName());
  private static final int MAX_LOGGED_FAILURES = 20;
  // File descriptors that are kept free for files, the selector, the listening and admin sockets,
  // and connections that are being closed.
  private static final int RESERVED_DESCRIPTORS = 48;
  private static final int DESCRIPTOR_SHARES = 3;
  private static final int CLIENT_SHARES = 2;
  private static final int KEEP_ALIVE_MARGIN_DIVISOR = 10; // 1/10 of the endpoint's idle timeout
  private static final long MIN_DISCOVERY_CONNECT_US = 1_000_000;
  private static final long EXPIRY_INTERVAL_US = 200_000;
  private static final long STOPPING_INTERVAL_US = 5_000;
  private static final long LOOP_CHECK_INTERVAL_US = 500_000;
  private static final int MAX_SILENT_CHECKS = 10; // without an iteration between them

  private final RequestCoordinator coordinator;
  private final LongSupplier clock;
  private final Network network;
  private final MemoryBudget budget;
  private final Lifecycle lifecycle = new Lifecycle();
  private final ClientConnections clients;
  private final ClientListener listener;
  private final AttemptExecutor attempts;
  private final DiscoveryClient discovery;
  private final AdminEndpoint admin;
  private final CommandDispatcher dispatcher;
  private final ServerStartup startup;
  private final ShutdownSequence shutdown;
  private final ChangeQueue changes;
  private Optional<MembershipService> membership = Optional.empty();
  // The longest request timeout of all settings applied so far, because an open request may have
  // got its timeout from any of them.
  private volatile long maxTimeoutUs;
  private long lastExpiryUs; // when client and admin connections were last checked for timeouts
  private final AtomicLong iterations = new AtomicLong();
  private int failedIterations;
  private long now; // in microseconds; read before the events of an iteration and again after them

  /**
   * Creates a server that does not run yet.
   *
   * @param warmUpRequests the number of requests that the server sends to itself before it is ready
   * @param clock gives microseconds that never go back
   * @param discoveryAddress a numeric IP address and a port
   */
  public SidecarServer(
      Network network,
      int warmUpRequests,
      RequestCoordinator coordinator,
      LongSupplier clock,
      SidecarSettings settings,
      String discoveryAddress,
      SidecarLimits limits) {
    this.network = network;
    this.coordinator = coordinator;
    this.clock = clock;
    now = clock.getAsLong();
    budget = new MemoryBudget(limits.bufferBytes());
    // Clients get two of three shares of the descriptors, endpoints one: clients' connections may
    // be idle, whereas those to endpoints are reused for one request after another.
    int share = (limits.maxDescriptors() - RESERVED_DESCRIPTORS) / DESCRIPTOR_SHARES;
    clients = new ClientConnections(this::now, CLIENT_SHARES * share);
    RequestEvents events = new RequestEvents(this::now);
    listener =
        new ClientListener(
            coordinator, lifecycle, this::now, clients, limits.maxBodyBytes(), budget, events);
    discovery = new DiscoveryClient(network, coordinator, this::now, discoveryAddress);
    attempts =
        new AttemptExecutor(
            network,
            coordinator,
            this::now,
            new EndpointConnectionPool(this::now, share),
            limits.maxBodyBytes(),
            budget,
            this::checkClient,
            events);
    admin = new AdminEndpoint(lifecycle, this::now, events);
    dispatcher = new CommandDispatcher(listener.responder(), attempts, discovery);
    startup =
        new ServerStartup(
            network,
            lifecycle,
            coordinator,
            listener,
            clients,
            new WarmUpProbe(attempts, warmUpRequests),
            now);
    shutdown = new ShutdownSequence(lifecycle, coordinator, clients);
    changes = new ChangeQueue(network::wakeUp);
    configure(settings);
  }

  private long now() {
    return now;
  }

  /**
   * Reads input that has arrived from discovery and from a client since this iteration began, so
   * that the attempt that is sent next takes it into account. Returns whether the client was
   * connected a moment ago.
   */
  private boolean checkClient(Object client) {
    discovery.readPending();
    return !(client instanceof Caller caller) || listener.checkConnected(caller);
  }

  private void configure(SidecarSettings settings) {
    long timeoutUs = settings.maxTimeoutUs();
    maxTimeoutUs = Math.max(maxTimeoutUs, timeoutUs);
    listener.configure(settings.balancer(), timeoutUs);
    // Idle connections are closed before the endpoint's own idle timeout, because the endpoint has
    // started its timer earlier.
    long keepAliveUs = settings.keepAliveUs();
    attempts.configure(
        settings.connectTimeoutUs(), keepAliveUs - keepAliveUs / KEEP_ALIVE_MARGIN_DIVISOR);
    discovery.configure(Math.max(settings.connectTimeoutUs(), MIN_DISCOVERY_CONNECT_US));
  }

  // Methods that are called before the start, on the thread that creates the server

  /**
   * Requests the endpoint list at once, and delays readiness until it has arrived, but not for
   * longer than 3 s. Needed where discovery pushes updates: the protocol counts the updates that
   * discovery already has as delivered to this process from its start on, although the list that
   * the process started with may be older.
   */
  public void requireFirstList() {
    startup.requireFirstList();
    coordinator.onDiscoveryMoved(now);
  }

  /** Shares the ids of requests that must not run twice with the process that this one replaces. */
  public void shareRunIds(RequestIdTable table) {
    listener.setRunIds(table);
  }

  /**
   * Makes this sidecar take part in the fleet's membership, from the first iteration on, and lets
   * the admin endpoint show it.
   */
  public void join(MembershipService service) {
    membership = Optional.of(service);
    admin.setMembership(service);
  }

  /**
   * Starts the event loop and membership, and opens the admin endpoint at the address, if there is
   * one.
   */
  public void open(Optional<InetSocketAddress> adminBindAddress) throws IOException {
    network.start(this);
    if (membership.isPresent()) {
      membership.get().open(network);
      network.wakeUp();
    }
    if (adminBindAddress.isPresent()) {
      String address = network.bind(adminBindAddress.get(), admin).address();
      startup.setAdminAddress(address);
      LOG.info(() -> "admin endpoint on " + address);
    }
  }

  // Startup

  /**
   * Listens at an address, warms up, and begins serving. Returns when the server is ready, or once
   * it is stopping. Must not be called from the selector thread.
   */
  public void startListening(InetSocketAddress address) throws IOException, InterruptedException {
    makeChange(() -> startup.listen(address));
    startup.awaitWarmUp();
    runBetweenIterations(this::markReady);
  }

  /**
   * Warms up, and then begins serving on the listening socket that this process inherited. Returns
   * when the server is ready, or once it is stopping. Must not be called from the selector thread.
   */
  public void startInherited() throws IOException, InterruptedException {
    makeChange(startup::prepareInherited);
    startup.awaitWarmUp();
    // After the warm-up, because accepted connections have to be served at once.
    makeChange(startup::acceptInherited);
    runBetweenIterations(this::markReady);
  }

  private interface FallibleChange {
    void make() throws IOException;
  }

  /**
   * Runs the change on the selector thread, waits for it, and rethrows its {@link IOException}.
   * Does not run it if the shutdown has begun.
   */
  private void makeChange(FallibleChange change) throws IOException, InterruptedException {
    AtomicReference<IOException> failure = new AtomicReference<>();
    runBetweenIterations(
        () -> {
          try {
            if (!lifecycle.isStopping()) {
              change.make();
            }
          } catch (IOException e) {
            failure.set(e);
          }
        });
    if (failure.get() != null) {
      throw failure.get();
    }
  }

  /**
   * Listens at an address and starts to warm up; the caller calls {@link #markReady} once {@link
   * #isWarm} is true. Runs on the selector thread.
   */
  public void listen(InetSocketAddress address) throws IOException {
    startup.listen(address);
  }

  /** Whether the warm-up is done. May be called from any thread. */
  public boolean isWarm() {
    return startup.isWarm();
  }

  /** Begins serving, unless the shutdown has begun. Runs on the selector thread. */
  public void markReady() {
    startup.markReady(now);
  }

  // While it runs

  /**
   * Makes the selector thread run a change after the events of an iteration, and returns when that
   * is done. Must not be called from the selector thread.
   */
  public void runBetweenIterations(Runnable change) throws InterruptedException {
    changes.submitAndWait(change);
  }

  /**
   * Applies new settings; open requests and what the load balancer has learned are kept. Runs on
   * the selector thread.
   */
  public void applySettings(SidecarSettings settings) {
    coordinator.applySettings(now, settings.balancer());
    configure(settings);
  }

  /**
   * Moves to another discovery address, and requests the endpoint list there at once. Runs on the
   * selector thread.
   */
  public void moveDiscovery(String address) {
    discovery.moveTo(address);
    coordinator.onDiscoveryMoved(now);
  }

  /**
   * Shuts down gracefully, and returns when that is done, or if the event loop does not run. Must
   * not be called from the selector thread.
   */
  public void stop() throws InterruptedException {
    requestStop();
    int silentChecks = 0;
    long iterationsBefore = iterations.get();
    while (silentChecks < MAX_SILENT_CHECKS && !shutdown.await(LOOP_CHECK_INTERVAL_US)) {
      boolean isRunning = iterations.get() != iterationsBefore;
      iterationsBefore = iterations.get();
      silentChecks = isRunning ? 0 : silentChecks + 1;
    }
  }

  /**
   * Begins the graceful shutdown; {@link #isDone} is true when it has ended. May be called from any
   * thread.
   */
  public void requestStop() {
    changes.submit(
        () -> {
          lifecycle.stop(now);
          membership.ifPresent(service -> service.leave(now));
          LOG.info("shutting down");
        });
  }

  /** Whether the graceful shutdown is done. May be called from any thread. */
  public boolean isDone() {
    return shutdown.isDone();
  }

  /**
   * The resources in use now. While no request is open all counts are 0, except for the buffers of
   * idle connections, the timers of the endpoint list and of the load balancer, and the failed
   * iterations.
   */
  public ResourceUsage usage() {
    return new ResourceUsage(
        coordinator.trackedRequests(),
        coordinator.pendingTimers(),
        attempts.inFlight(),
        listener.openRequests(),
        budget.taken(),
        failedIterations);
  }

  // Event loop

  @Override
  public void beforeEvents() {
    now = clock.getAsLong();
    if (membership.isPresent()) {
      membership.get().beforeEvents(now);
    }
  }

  @Override
  public long maxWaitUs() {
    if (listener.hasDeferredReads()) {
      return 0;
    }
    long dueUs = Math.min(attempts.nextDueUs(), discovery.nextDueUs());
    dueUs = Math.min(coordinator.nextTimerUs(), dueUs);
    if (membership.isPresent()) {
      dueUs = Math.min(dueUs, membership.get().nextDueUs());
    }
    long intervalUs = lifecycle.isStopping() ? STOPPING_INTERVAL_US : EXPIRY_INTERVAL_US;
    return Math.min(dueUs - clock.getAsLong(), intervalUs);
  }

  @Override
  public void afterEvents() {
    iterations.incrementAndGet();
    try {
      iterate();
    } catch (RuntimeException failure) {
      failedIterations++;
      if (failedIterations <= MAX_LOGGED_FAILURES) { // a failure that recurs must not fill the log
        LOG.log(Level.SEVERE, "event loop iteration failed", failure);
      }
    }
  }

  private void iterate() {
    beforeEvents();
    attempts.expire(now);
    changes.runAll();
    discovery.expire(now);
    if (membership.isPresent()) {
      membership.get().afterEvents(now);
    }
    startup.advance(now);
    carryOutCommands();
    if (listener.readDeferred()) { // last, because small requests and responses go first
      carryOutCommands();
    }
    boolean closesIdle = lifecycle.isStopping() && lifecycle.closesIdleConnections(now);
    if (now - lastExpiryUs >= EXPIRY_INTERVAL_US || closesIdle) {
      lastExpiryUs = now;
      listener.expire(now, maxTimeoutUs);
      admin.expire(now);
    }
    if (lifecycle.isStopping()) {
      shutdown.advance(now, maxTimeoutUs, startup.isSocketInherited());
    }
  }

  private void carryOutCommands() {
    boolean sentAny;
    do {
      NetworkCommand command = coordinator.next(now);
      while (command != null) {
        dispatcher.carryOut(command);
        command = coordinator.next(now);
      }
      sentAny = attempts.sendConnected();
    } while (sentAny);
  }
}
