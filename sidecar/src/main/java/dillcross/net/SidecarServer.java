package dillcross.net;

import dillcross.net.admin.AdminEndpoint;
import dillcross.net.admin.AdminPaths;
import dillcross.net.admin.Lifecycle;
import dillcross.net.buffer.MemoryBudget;
import dillcross.net.client.ClientConnections;
import dillcross.net.client.ClientListener;
import dillcross.net.discovery.DiscoveryClient;
import dillcross.net.endpoint.AttemptExecutor;
import dillcross.net.endpoint.EndpointConnectionPool;
import dillcross.net.membership.MembershipService;
import dillcross.net.transport.Network;
import dillcross.sidecar.NetworkCommand;
import dillcross.sidecar.RequestCoordinator;
import dillcross.sidecar.SidecarLimits;
import dillcross.sidecar.SidecarSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The running sidecar: assembles the parts that the network's one thread works for, and makes the
 * iterations of its event loop. All parts belong to that thread. Methods may be called from other
 * threads where they say so; changes go through one {@link ChangeQueue}.
 */
public final class SidecarServer implements Network.EventLoopTask {
  private static final Logger LOG = Logger.getLogger(SidecarServer.class.getName());
  private static final long FIRST_LIST_US = 3_000_000; // the longest wait for the first list
  private static final int MAX_LOGGED_FAILURES = 20;
  private static final int RESERVED_DESCRIPTORS = 48; // files, selector, sockets, and what closes
  private static final int DESCRIPTOR_SHARES = 3;
  private static final int CLIENT_SHARES = 2;
  private static final int KEEP_ALIVE_MARGIN_DIVISOR = 10;
  private static final int MICROS_PER_MILLI = 1000;
  private static final long MIN_DISCOVERY_CONNECT_US = 1_000_000;
  private static final long EXPIRY_INTERVAL_US = 200_000;
  private static final long STOPPING_INTERVAL_US = 5_000;

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
  private final WarmUpProbe warmUp;
  private final ShutdownSequence shutdown;
  private final ChangeQueue changes;
  private final long startedUs;
  private Optional<MembershipService> membership = Optional.empty();
  private String adminAddress; // null where there is no admin endpoint
  private Network.ListeningSocket listeningSocket; // the clients'
  private volatile long maxTimeoutUs; // of all settings so far: a request may be open from any
  private volatile boolean isSocketInherited; // so that another process may accept from it too
  private boolean needsFirstList;
  private long expiredUs;
  private int failedIterations;
  private long now; // the clock, read before events and again after them

  /**
   * A server that does not run yet.
   *
   * @param warmUpRequests to itself that it makes before it is ready
   * @param clock whole microseconds that never go back
   * @param discoveryAddress a numeric address and a port
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
    startedUs = now;
    budget = new MemoryBudget(limits.bufferBytes());
    // Clients get two of three shares of the descriptors, endpoints one: clients' connections may
    // be idle, whereas those to endpoints are reused for one request after another.
    int share = (limits.maxDescriptors() - RESERVED_DESCRIPTORS) / DESCRIPTOR_SHARES;
    clients = new ClientConnections(this::now, CLIENT_SHARES * share);
    listener =
        new ClientListener(
            coordinator, lifecycle, this::now, clients, limits.maxBodyBytes(), budget);
    discovery = new DiscoveryClient(network, coordinator, this::now, discoveryAddress, budget);
    attempts =
        new AttemptExecutor(
            network,
            coordinator,
            this::now,
            new EndpointConnectionPool(this::now, share),
            limits.maxBodyBytes(),
            budget,
            this::readPending);
    admin = new AdminEndpoint(lifecycle, this::now);
    dispatcher = new CommandDispatcher(listener, attempts, discovery);
    warmUp = new WarmUpProbe(attempts, warmUpRequests);
    shutdown = new ShutdownSequence(lifecycle, coordinator, clients);
    changes = new ChangeQueue(network::wakeUp);
    configure(settings);
  }

  private long now() {
    return now;
  }

  /**
   * Reads what has arrived of the endpoint list and of a client since this iteration began: what is
   * sent next must not miss it.
   */
  private void readPending(Object client) {
    discovery.readPending();
    if (client instanceof ClientListener.Caller caller) {
      listener.readPending(caller);
    }
  }

  private void configure(SidecarSettings settings) {
    long timeoutUs = settings.maxTimeoutUs();
    maxTimeoutUs = Math.max(maxTimeoutUs, timeoutUs);
    listener.configure(settings.balancer().requestClasses(), timeoutUs);
    // Idle connections close early, because the endpoint started to time them earlier.
    long keepAliveUs = settings.keepAliveUs();
    attempts.configure(
        settings.connectTimeoutUs(), keepAliveUs - keepAliveUs / KEEP_ALIVE_MARGIN_DIVISOR);
    discovery.configure(Math.max(settings.connectTimeoutUs(), MIN_DISCOVERY_CONNECT_US));
  }

  // Before the start

  /**
   * Has the endpoint list requested at once, and waits a while for it before it is ready: where
   * lists are pushed, what the agent has counts as notified from this process's first moment on,
   * and what it was started with may be old.
   */
  public void requireFirstList() {
    needsFirstList = true;
    coordinator.onDiscoveryMoved(now);
  }

  /** Takes part among others, from the first iteration on. */
  public void join(MembershipService service) {
    membership = Optional.of(service);
    admin.show(service);
  }

  /** Starts the event loop, and opens the admin endpoint: operators may call from then on. */
  public void open(Optional<InetSocketAddress> adminBindAddress) throws IOException {
    network.start(this);
    if (membership.isPresent()) {
      membership.get().open(network);
      network.wakeUp();
    }
    if (adminBindAddress.isPresent()) {
      adminAddress = network.bind(adminBindAddress.get(), admin).address();
      LOG.info(() -> "admin endpoint on " + adminAddress);
    }
  }

  // Start. From another thread.

  /** Listens, warms up and serves. */
  public void startListening(InetSocketAddress address) throws IOException, InterruptedException {
    makeChange(() -> listen(address));
    warmUp.await();
    runBetweenIterations(this::markReady);
  }

  /** Warms up, then serves on the listening socket that this process inherited. */
  public void startInherited() throws IOException, InterruptedException {
    makeChange(this::prepareInherited);
    warmUp.await();
    makeChange(this::acceptInherited); // only now: what it accepts it has to serve at once
    runBetweenIterations(this::markReady);
  }

  private interface FallibleChange {
    void make() throws IOException;
  }

  /** Makes a change that may fail, unless shutdown has begun. */
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

  /** Listens and starts to warm up; {@link #markReady} is to be called once {@link #isWarm}. */
  public void listen(InetSocketAddress address) throws IOException {
    accept(network.bind(address, listener));
    warmUp.start(listeningSocket.address(), AdminPaths.HEALTH);
    network.wakeUp();
  }

  private void prepareInherited() throws IOException {
    isSocketInherited = true;
    if (!network.hasInheritedSocket()) {
      throw new IOException(
          "NODE_FD names no listening socket that can be taken over (descriptor 0)");
    }
    // Through the clients' socket the process before this one would be asked.
    warmUp.start(adminAddress, AdminPaths.READY);
    network.wakeUp();
  }

  private void acceptInherited() throws IOException {
    accept(network.bindInherited(listener));
  }

  private void accept(Network.ListeningSocket socket) {
    listeningSocket = socket;
    clients.setListeningSocket(socket);
  }

  /** Whether it has warmed up. From any thread. */
  public boolean isWarm() {
    return warmUp.isDone();
  }

  /** Reports itself as ready; between two iterations. */
  public void markReady() {
    lifecycle.markReady(now);
    if (lifecycle.isReady()) { // it may be stopping meanwhile
      long elapsedMs = (now - startedUs) / MICROS_PER_MILLI;
      LOG.info(() -> "ready on " + listeningSocket.address() + " after " + elapsedMs + " ms");
    }
  }

  // While it runs

  /** Has the selector thread make a change between two iterations, and returns then. */
  public void runBetweenIterations(Runnable change) throws InterruptedException {
    changes.submitAndWait(change);
  }

  /** Takes new settings on; what is open or learned stays. Between two iterations. */
  public void applySettings(SidecarSettings settings) {
    coordinator.applySettings(now, settings.balancer());
    configure(settings);
  }

  /** Has the endpoint list requested at another address, at once. Between two iterations. */
  public void moveDiscovery(String address) {
    discovery.moveTo(address);
    coordinator.onDiscoveryMoved(now);
  }

  /** Shuts down gracefully, and returns when that is done. From another thread. */
  public void stop() throws InterruptedException {
    requestStop();
    boolean isDone = false; // the event loop may not run yet; new settings may prolong the wait
    long waitedUs = 0;
    while (!isDone && waitedUs < maxTimeoutUs + 2 * ShutdownSequence.ACCEPT_US) {
      isDone = shutdown.await(ShutdownSequence.ACCEPT_US);
      waitedUs += ShutdownSequence.ACCEPT_US;
    }
  }

  /** Has the graceful shutdown begin; it {@link #isDone} some iterations later. From any thread. */
  public void requestStop() {
    changes.submit(
        () -> {
          lifecycle.stop(now);
          membership.ifPresent(service -> service.leave(now));
          LOG.info("shutting down");
        });
  }

  /** Whether the graceful shutdown is done. From any thread. */
  public boolean isDone() {
    return shutdown.isDone();
  }

  /**
   * What it has in use at the moment; when nothing is carried out all of it is 0 but for what idle
   * connections may keep, and timers for the endpoint list and the load balancer.
   */
  public Usage usage() {
    return new Usage(
        coordinator.trackedRequests(),
        coordinator.pendingTimers(),
        attempts.inFlight(),
        listener.openRequests(),
        budget.taken(),
        failedIterations);
  }

  /**
   * What a server has in use.
   *
   * @param trackedRequests that the coordinator keeps
   * @param timers that are set
   * @param attempts in flight
   * @param openRequests that wait for their response
   * @param bufferBytes of the buffers' limit
   * @param failedIterations of the event loop since the start
   */
  public record Usage(
      int trackedRequests,
      int timers,
      int attempts,
      int openRequests,
      long bufferBytes,
      int failedIterations) {}

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
    try {
      iterate();
    } catch (RuntimeException failure) {
      failedIterations++;
      if (failedIterations <= MAX_LOGGED_FAILURES) { // one that recurs must not fill the log
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
    if (warmUp.isRunning()) {
      warmUp.advance(now, now - startedUs, !isWaitingForFirstList());
    }
    carryOutCommands();
    boolean closesIdle = lifecycle.isStopping() && lifecycle.closesIdleConnections(now);
    if (now - expiredUs >= EXPIRY_INTERVAL_US || closesIdle) {
      expiredUs = now;
      listener.expire(now);
      admin.expire(now);
    }
    if (lifecycle.isStopping()) {
      shutdown.advance(now, maxTimeoutUs, isSocketInherited);
    }
  }

  private boolean isWaitingForFirstList() {
    return needsFirstList
        && !coordinator.hasReceivedWatchEvent()
        && now - startedUs <= FIRST_LIST_US;
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
