package dillcross.emulator.simulation;

import dillcross.balancer.LoadBalancer;
import dillcross.emulator.network.EmulatedNetwork;
import dillcross.emulator.network.VirtualMachine;
import dillcross.emulator.oracle.Violation.Rule;
import dillcross.emulator.random.RandomStream;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.time.TimeUnits;
import dillcross.endpointlist.EndpointListParser;
import dillcross.net.ResourceUsage;
import dillcross.net.SidecarServer;
import dillcross.sidecar.EndpointListUpdate;
import dillcross.sidecar.RequestCoordinator;
import dillcross.sidecar.SidecarSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * One sidecar: a machine, and the process on it, which runs the sidecar's production code and can
 * be restarted. After each event loop iteration, checks that the process keeps its limits and makes
 * progress.
 */
final class SidecarProcess {
  private static final int ADMIN_PORT = 9900;
  private static final int CLIENT_PORT = 9000;
  private static final int ADDRESSES_PER_SUBNET = 250;

  /** Maximum time from SIGTERM to the end of the process, beyond the longest request timeout. */
  private static final long MAX_SHUTDOWN_US = 700_000;

  /** Time beyond {@link #MAX_SHUTDOWN_US} after which a process that has not ended is killed. */
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

  /** Where the sidecar listens for clients, as {@code ip:port}. */
  String address() {
    return ip + ":" + CLIENT_PORT;
  }

  VirtualMachine host() {
    return host;
  }

  /** The application process on the same machine, whose requests the sidecar forwards. */
  VirtualMachine app() {
    return app;
  }

  /** Name of the current process, or of the latest one while none runs. */
  String processName() {
    return name + "#" + startCount;
  }

  boolean isRunning() {
    return server != null;
  }

  /** Number of processes started so far. */
  int startCount() {
    return startCount;
  }

  int connectionCount() {
    return host.connectionCount();
  }

  /** Number of event loop iterations so far, over all processes of this sidecar. */
  long iterations() {
    return iterationsOfEarlierProcesses + (network == null ? 0 : network.iterationCount());
  }

  /** Resources in use by the process; null while none runs. */
  ResourceUsage usage() {
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
            group.warmUpRequests(),
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

  /** Stops the process as SIGTERM does, and kills it if it has not ended in time. */
  void terminate() {
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

  /** Ends the process at once, as SIGKILL does; no effect while none runs. */
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
   * Sends a POST to the sidecar's admin endpoint. A status other than 200, or no answer, is a
   * violation if the process was ready and has neither stopped nor been restarted since.
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
   * Reloads the configuration, which now names the other one of the discovery service's two
   * addresses. As in production, this happens between two event loop iterations.
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
