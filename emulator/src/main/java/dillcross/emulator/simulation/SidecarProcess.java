package dillcross.emulator.simulation;

import dillcross.balancer.LoadBalancer;
import dillcross.emulator.network.EmulatedNetwork;
import dillcross.emulator.network.VirtualMachine;
import dillcross.emulator.oracle.Violation.Rule;
import dillcross.emulator.random.RandomStream;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.time.TimeUnits;
import dillcross.endpointlist.EndpointListParser;
import dillcross.net.SidecarServer;
import dillcross.sidecar.EndpointListUpdate;
import dillcross.sidecar.RequestCoordinator;
import dillcross.sidecar.SidecarSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * One sidecar: a machine, and on it one process after another that runs the sidecar's own code.
 * Checks after each event loop iteration that the process keeps its limits and makes progress.
 */
final class SidecarProcess {
  private static final int ADMIN_PORT = 9900;
  private static final int CLIENT_PORT = 9000;
  private static final int ADDRESSES_PER_SUBNET = 250;

  /** Time from SIGTERM plus the longest request timeout by which the process should have ended. */
  private static final long MAX_SHUTDOWN_US = 700_000;

  /** Further time after which a process that should have ended is killed. */
  private static final long SHUTDOWN_TOLERANCE_US = 300_000;

  private final int index;
  private final String name;
  private final String ip;
  private final VirtualMachine host;
  private final VirtualMachine app;
  private final SimulationContext context;
  private final DiscoveryService discovery;
  private final RandomStream random;
  private EmulatedNetwork network; // null while no process runs
  private SidecarServer server; // null while no process runs
  private String discoveryAddress = DiscoveryService.ADDRESS;
  private int startCount;
  private boolean isReady;
  private boolean isStopping;
  private long iterationsOfEarlierProcesses;

  SidecarProcess(SimulationContext context, DiscoveryService discovery, int index) {
    this.context = context;
    this.discovery = discovery;
    this.index = index;
    Scenario.SidecarGroup group = context.scenario().sidecars();
    name = "s" + index;
    ip = "127.1." + index / ADDRESSES_PER_SUBNET + "." + (1 + index % ADDRESSES_PER_SUBNET);
    host = new VirtualMachine(name, group.zones().get(index % group.zones().size()));
    app = new VirtualMachine("app of " + name, host);
    random = context.random().named("sidecar " + name);
  }

  int index() {
    return index;
  }

  String name() {
    return name;
  }

  /** Where it listens for clients, as {@code ip:port}. */
  String address() {
    return ip + ":" + CLIENT_PORT;
  }

  VirtualMachine host() {
    return host;
  }

  /** The application process on the same machine, whose requests it takes. */
  VirtualMachine app() {
    return app;
  }

  /** Name of the process that runs, or ran last. */
  String processName() {
    return name + "#" + startCount;
  }

  boolean isRunning() {
    return server != null;
  }

  /** How many processes were started. */
  int startCount() {
    return startCount;
  }

  int connectionCount() {
    return host.connectionCount();
  }

  /** Event loop iterations of all its processes. */
  long iterations() {
    return iterationsOfEarlierProcesses + (network == null ? 0 : network.iterationCount());
  }

  /** What its process holds; null while none runs. */
  SidecarServer.Usage usage() {
    return server == null ? null : server.usage();
  }

  // ---- Start

  /** Starts a process, which listens after a start-up time drawn from the scenario. */
  void boot() {
    startCount++;
    int ownStart = startCount;
    RandomStream draws = random.named("boot " + startCount);
    context.after(
        context.scenario().sidecars().startMs().drawUs(draws),
        () -> {
          if (ownStart == startCount && server == null) {
            start();
          }
        });
  }

  private void start() {
    Scenario.SidecarGroup group = context.scenario().sidecars();
    SidecarSettings settings = settings();
    long seed = random.named("start " + startCount).any();
    RequestCoordinator coordinator =
        new RequestCoordinator(new LoadBalancer(seed, settings.balancer()));
    EndpointListUpdate cached = EndpointListParser.fromJson(discovery.cachedList());
    coordinator.onEndpointList(context.now(), cached.version(), true, cached.entries(), false);
    discovery.onCachedListRead(processName());
    context.oracle().processStarted(processName());
    network =
        new EmulatedNetwork(
            context.clock(),
            context.network(),
            host,
            ip,
            group.iterationUs(),
            this::onIterationEnd);
    server =
        new SidecarServer(
            network,
            group.calls(),
            coordinator,
            context::now,
            settings,
            discoveryAddress,
            SidecarSettingValues.limits(group));
    isReady = false;
    isStopping = false;
    listen();
    context.note("start", "sidecar", name, "process", processName());
  }

  private void listen() {
    try {
      server.open(Optional.of(new InetSocketAddress(ip, ADMIN_PORT)));
      server.listen(new InetSocketAddress(ip, CLIENT_PORT));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private SidecarSettings settings() {
    return SidecarSettingValues.settings(context.scenario(), host.zone(), index);
  }

  private void onIterationEnd() {
    if (server.isWarm() && !isReady) {
      isReady = true;
      server.markReady();
      context.note("ready", "sidecar", name);
    }
    if (host.connectionCount() + 1 > context.scenario().sidecars().descriptors()) {
      report(Rule.WITHIN_LIMITS, " holds " + host.connectionCount() + " connections");
    }
    if (network.isSpinning()) {
      report(Rule.TURNS_END, " makes turns while time stands still");
      kill();
    } else if (server.usage().failedIterations() > 0) {
      report(Rule.NO_FAULT, " had a turn that failed; its log says how");
      kill();
    } else if (server.isDone()) {
      context.note("exit", "sidecar", name);
      end();
    }
  }

  private void report(Rule rule, String message) {
    context.oracle().report(rule, null, name + message);
  }

  // ---- Faults and operations

  /** Sends SIGTERM, and SIGKILL if the process has not ended in time. */
  void term() {
    if (server == null || isStopping) {
      return;
    }
    isStopping = true;
    int ownStart = startCount;
    context.note("term", "sidecar", name);
    server.requestStop();
    double maxTimeoutMs =
        context.scenario().requestClasses().stream()
            .mapToDouble(Scenario.RequestClass::timeoutMs)
            .max()
            .orElse(0);
    context.after(
        TimeUnits.toMicros(maxTimeoutMs) + MAX_SHUTDOWN_US + SHUTDOWN_TOLERANCE_US,
        () -> {
          if (ownStart == startCount && server != null && isStopping) {
            context.note("late", "sidecar", name);
            end();
          }
        });
  }

  /** Sends SIGKILL. */
  void kill() {
    if (server != null) {
      context.note("kill", "sidecar", name);
      end();
    }
  }

  private void end() {
    iterationsOfEarlierProcesses += network.iterationCount();
    network.stop();
    network = null;
    server = null;
    isReady = false;
    context.network().closeConnections(host);
  }

  /**
   * Sends a POST to its admin endpoint. Any status but 200 is a violation if the process was ready
   * and is still the same.
   */
  void callAdmin(String path) {
    int ownStart = startCount;
    boolean isExpectedToAnswer = server != null && isReady && !isStopping;
    context.note("admin", "sidecar", name, "path", path);
    AdminCall call =
        new AdminCall(
            path,
            status -> {
              boolean isSameProcess = ownStart == startCount && server != null && !isStopping;
              if (isExpectedToAnswer && isSameProcess && status != HttpStatus.OK) {
                String message = " answered " + status + " at its admin endpoint to " + path;
                report(Rule.TRUE_CONTENT, message);
              }
            });
    context.network().connect(app, ip + ":" + ADMIN_PORT, call);
  }

  /**
   * Reloads the configuration with the discovery service at its other address, between two event
   * loop iterations as in service.
   */
  void reload() {
    if (server == null) {
      return;
    }
    context.note("reload", "sidecar", name);
    SidecarSettings settings = settings();
    boolean isAtFirstAddress = discoveryAddress.equals(DiscoveryService.ADDRESS);
    discoveryAddress = isAtFirstAddress ? DiscoveryService.OTHER_ADDRESS : DiscoveryService.ADDRESS;
    server.beforeEvents();
    server.moveDiscovery(discoveryAddress);
    server.applySettings(settings);
    network.wakeUp();
  }

  /** Suspends the process for the duration in µs. */
  void stall(long durationUs) {
    if (network != null) {
      context.note("stall", "sidecar", name, "us", durationUs);
      long untilUs = context.now() + durationUs;
      network.suspendUntil(untilUs);
      context.oracle().processStalled(index, context.now(), untilUs);
    }
  }
}
