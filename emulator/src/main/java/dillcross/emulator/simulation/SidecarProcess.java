package dillcross.emulator.simulation;

import dillcross.balancer.LoadBalancer;
import dillcross.config.ConfigReader;
import dillcross.config.ConfigValues;
import dillcross.emulator.network.EmulatedNetwork;
import dillcross.emulator.network.SocketEndpoint;
import dillcross.emulator.network.VirtualMachine;
import dillcross.emulator.oracle.Violation.Rule;
import dillcross.emulator.random.RandomStream;
import dillcross.emulator.scenario.Scenario;
import dillcross.endpointlist.EndpointListParser;
import dillcross.net.SidecarServer;
import dillcross.sidecar.EndpointListUpdate;
import dillcross.sidecar.RequestCoordinator;
import dillcross.sidecar.SidecarLimits;
import dillcross.sidecar.SidecarSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** One sidecar: a machine, and on it one process after another that runs the sidecar's own code. */
final class SidecarProcess {
  private static final int ADMIN_PORT = 9900;
  private static final long MOST_STOP_US =
      700_000; // after SIGTERM and the longest deadline it is killed

  final int index;
  final String name;
  final String address;
  final VirtualMachine host;
  final VirtualMachine app; // its clients, beside it
  private final SimulationContext world;
  private final DiscoveryService list;
  private final RandomStream random;
  private EmulatedNetwork network;
  private SidecarServer server;
  private String listAt = DiscoveryService.ADDRESS;
  private int starts;
  private boolean ready;
  private boolean stopping;
  private long turns; // of earlier processes

  SidecarProcess(SimulationContext world, DiscoveryService list, int index) {
    this.world = world;
    this.list = list;
    this.index = index;
    Scenario.SidecarGroup group = world.scenario().sidecars();
    name = "s" + index;
    address = "127.1." + index / 250 + "." + (1 + index % 250) + ":9000";
    host = new VirtualMachine(name, group.zones().get(index % group.zones().size()));
    app = new VirtualMachine("app of " + name, host);
    random = world.random().named("sidecar " + name);
  }

  /** Of the one that runs, or ran last. */
  String process() {
    return name + "#" + starts;
  }

  boolean running() {
    return server != null;
  }

  boolean ready() {
    return ready;
  }

  int starts() {
    return starts;
  }

  int connections() {
    return host.connections();
  }

  long turns() {
    return turns + (network == null ? 0 : network.turnsMade());
  }

  /** What its process holds; null where none runs. */
  SidecarServer.Usage usage() {
    return server == null ? null : server.usage();
  }

  // ---- Its process

  /** Has a process begin; it listens after the time that one needs. */
  void boot() {
    starts++;
    int mine = starts;
    world
        .time()
        .after(
            world.scenario().sidecars().startMs().drawUs(random.named("boot " + starts)),
            () -> {
              if (mine == starts && server == null) {
                start();
              }
            });
  }

  private ConfigValues settingValues() {
    Map<String, String> values = new HashMap<>(world.scenario().sidecarSettings());
    Scenario scenario = world.scenario();
    values.put("locality", host.zone());
    values.put("me", String.valueOf(index));
    values.put("balancers", String.valueOf(scenario.sidecars().count()));
    values.put("categories.count", String.valueOf(scenario.requestClasses().size()));
    for (int i = 0; i < scenario.requestClasses().size(); i++) {
      Scenario.RequestClass requestClass = scenario.requestClasses().get(i);
      String at = "categories." + i + ".";
      values.put(at + "name", requestClass.name());
      values.put(at + "effect", requestClass.effect());
      values.put(at + "key_scope", requestClass.scope());
      values.put(at + "window_ms", String.valueOf(requestClass.windowMs()));
      values.put(at + "target_latency_ms", String.valueOf(requestClass.targetMs()));
      values.put(at + "ttl_ms", String.valueOf(requestClass.timeoutMs()));
      values.put(at + "benefit", String.valueOf(requestClass.priorityWeight()));
    }
    return ConfigValues.ofPairs(values);
  }

  private void start() {
    Scenario.SidecarGroup group = world.scenario().sidecars();
    SidecarSettings settings = ConfigReader.sidecarSettings(settingValues());
    long seed = random.named("start " + starts).any();
    RequestCoordinator coordinator =
        new RequestCoordinator(new LoadBalancer(seed, settings.balancer()));
    EndpointListUpdate known = EndpointListParser.fromJson(list.known());
    coordinator.onEndpointList(world.now(), known.version(), true, known.entries(), false);
    list.knows(process());
    world.oracle().started(process());
    network =
        new EmulatedNetwork(
            world.time(),
            world.fabric(),
            host,
            address.substring(0, address.indexOf(':')),
            group.turnUs(),
            this::turned);
    server =
        new SidecarServer(
            network, group.calls(), coordinator, world::now, settings, listAt, limits(group));
    ready = false;
    stopping = false;
    try {
      server.open(
          Optional.of(
              new InetSocketAddress(address.substring(0, address.indexOf(':')), ADMIN_PORT)));
      server.listen(new InetSocketAddress(address.substring(0, address.indexOf(':')), 9000));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    world.trace().note("start", "sidecar", name, "process", process());
  }

  private static SidecarLimits limits(Scenario.SidecarGroup group) {
    ConfigValues memory =
        ConfigValues.ofPairs(Map.of("limits.memory_mb", String.valueOf(group.memoryMb())));
    SidecarLimits limits = ConfigReader.limits(memory);
    return new SidecarLimits(group.descriptors(), limits.maxBodyBytes(), limits.bufferBytes());
  }

  private void turned() {
    if (server.isWarm() && !ready) {
      ready = true;
      server.markReady();
      world.trace().note("ready", "sidecar", name);
    }
    if (host.connections() + 1 > world.scenario().sidecars().descriptors()) {
      world
          .oracle()
          .broke(Rule.WITHIN_LIMITS, null, name + " holds " + host.connections() + " connections");
    }
    if (network.spins()) {
      world.oracle().broke(Rule.TURNS_END, null, name + " makes turns while time stands still");
      kill();
    } else if (server.usage().failedIterations() > 0) {
      world.oracle().broke(Rule.NO_FAULT, null, name + " had a turn that failed; its log says how");
      kill();
    } else if (server.isDone()) {
      world.trace().note("exit", "sidecar", name);
      end();
    }
  }

  /** SIGTERM, and SIGKILL where it does not go by itself. */
  void term() {
    if (server != null && !stopping) {
      stopping = true;
      int mine = starts;
      world.trace().note("term", "sidecar", name);
      server.requestStop();
      double maxTimeoutMs =
          world.scenario().requestClasses().stream()
              .mapToDouble(Scenario.RequestClass::timeoutMs)
              .max()
              .orElse(0);
      world
          .time()
          .after(
              Math.round(maxTimeoutMs * 1000) + MOST_STOP_US + 300_000,
              () -> {
                if (mine == starts && server != null && stopping) {
                  world.trace().note("late", "sidecar", name);
                  end();
                }
              });
    }
  }

  void kill() {
    if (server != null) {
      world.trace().note("kill", "sidecar", name);
      end();
    }
  }

  private void end() {
    turns += network.turnsMade();
    network.die();
    network = null;
    server = null;
    ready = false;
    world.fabric().end(host);
  }

  /** An operator calls at its admin endpoint, and wants a yes while its process can serve. */
  void callAdmin(String path) {
    int mine = starts;
    boolean able = server != null && ready && !stopping;
    HttpStreamReader incoming = new HttpStreamReader();
    world.trace().note("admin", "sidecar", name, "path", path);
    world
        .fabric()
        .connect(
            app,
            address.substring(0, address.indexOf(':')) + ":" + ADMIN_PORT,
            new SocketEndpoint.Owner() {
              @Override
              public void up(SocketEndpoint end) {
                end.send(
                    HttpStreamReader.message(
                        "POST " + path + " HTTP/1.1", new byte[0], false, "Host", "admin"),
                    null);
              }

              @Override
              public void failed(SocketEndpoint end) {
                answered(0);
              }

              @Override
              public void readable(SocketEndpoint end) {
                byte[] bytes = end.readAll();
                if (bytes.length > 0) {
                  incoming.add(bytes, end.firstSentUs());
                }
                if (end.over()) {
                  end.close();
                  answered(incoming.complete() ? Integer.parseInt(incoming.word(1)) : 0);
                }
              }

              private void answered(int status) {
                if (able && mine == starts && server != null && !stopping && status != 200) {
                  world
                      .oracle()
                      .broke(
                          Rule.TRUE_CONTENT,
                          null,
                          name + " answered " + status + " at its admin endpoint to " + path);
                }
              }
            });
  }

  /**
   * The same settings come anew, and the list has moved; between two turns, as a reload does it.
   */
  void reload() {
    if (server != null) {
      world.trace().note("reload", "sidecar", name);
      SidecarSettings settings = ConfigReader.sidecarSettings(settingValues());
      listAt =
          listAt.equals(DiscoveryService.ADDRESS)
              ? DiscoveryService.OTHER_ADDRESS
              : DiscoveryService.ADDRESS;
      server.beforeEvents();
      server.moveDiscovery(listAt);
      server.applySettings(settings);
      network.wakeUp();
    }
  }

  void stall(long forUs) {
    if (network != null) {
      world.trace().note("stall", "sidecar", name, "us", forUs);
      network.stall(world.now() + forUs);
      world.oracle().stalled(index, world.now(), world.now() + forUs);
    }
  }
}
