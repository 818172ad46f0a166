package dillcross.emulator.world;

import dillcross.balancer.LoadBalancer;
import dillcross.config.ConfigReader;
import dillcross.config.ConfigValues;
import dillcross.emulator.chance.Chance;
import dillcross.emulator.oracle.Violation.Rule;
import dillcross.emulator.scenario.Scenario;
import dillcross.emulator.wire.EmulatedNetwork;
import dillcross.emulator.wire.End;
import dillcross.emulator.wire.Host;
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
final class Instance {
  private static final int ADMIN_PORT = 9900;
  private static final long MOST_STOP_US =
      700_000; // after SIGTERM and the longest TTL it is killed

  final int index;
  final String name;
  final String address;
  final Host host;
  final Host app; // its clients, beside it
  private final World world;
  private final Directory list;
  private final Chance chance;
  private EmulatedNetwork network;
  private SidecarServer server;
  private String listAt = Directory.ADDRESS;
  private int starts;
  private boolean ready;
  private boolean stopping;
  private long turns; // of earlier processes

  Instance(World world, Directory list, int index) {
    this.world = world;
    this.list = list;
    this.index = index;
    Scenario.Fleet is = world.scenario().sidecars();
    name = "s" + index;
    address = "127.1." + index / 250 + "." + (1 + index % 250) + ":9000";
    host = new Host(name, is.zones().get(index % is.zones().size()));
    app = new Host("app of " + name, host);
    chance = world.chance().named("sidecar " + name);
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
            world.scenario().sidecars().startMs().drawUs(chance.named("boot " + starts)),
            () -> {
              if (mine == starts && server == null) {
                start();
              }
            });
  }

  private ConfigValues settingValues() {
    Map<String, String> told = new HashMap<>(world.scenario().told());
    Scenario scenario = world.scenario();
    told.put("locality", host.zone());
    told.put("me", String.valueOf(index));
    told.put("balancers", String.valueOf(scenario.sidecars().count()));
    told.put("categories.count", String.valueOf(scenario.categories().size()));
    for (int i = 0; i < scenario.categories().size(); i++) {
      Scenario.Kind kind = scenario.categories().get(i);
      String at = "categories." + i + ".";
      told.put(at + "name", kind.name());
      told.put(at + "effect", kind.effect());
      told.put(at + "key_scope", kind.scope());
      told.put(at + "window_ms", String.valueOf(kind.windowMs()));
      told.put(at + "target_latency_ms", String.valueOf(kind.targetMs()));
      told.put(at + "ttl_ms", String.valueOf(kind.ttlMs()));
      told.put(at + "benefit", String.valueOf(kind.benefit()));
    }
    return ConfigValues.ofPairs(told);
  }

  private void start() {
    Scenario.Fleet is = world.scenario().sidecars();
    SidecarSettings settings = ConfigReader.sidecarSettings(settingValues());
    long seed = chance.named("start " + starts).any();
    RequestCoordinator coordinator =
        new RequestCoordinator(new LoadBalancer(seed, settings.balancer()));
    EndpointListUpdate known = EndpointListUpdate.fromJson(list.known());
    coordinator.onEndpointList(world.now(), known.version(), true, known.entries(), false);
    list.knows(process());
    world.oracle().begun(process());
    network =
        new EmulatedNetwork(
            world.time(),
            world.fabric(),
            host,
            address.substring(0, address.indexOf(':')),
            is.turnUs(),
            this::turned);
    server =
        new SidecarServer(
            network, is.calls(), coordinator, world::now, settings, listAt, limits(is));
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

  private static SidecarLimits limits(Scenario.Fleet is) {
    ConfigValues memory =
        ConfigValues.ofPairs(Map.of("limits.memory_mb", String.valueOf(is.memoryMb())));
    SidecarLimits limits = ConfigReader.limits(memory);
    return new SidecarLimits(is.descriptors(), limits.maxBodyBytes(), limits.bufferBytes());
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
      double mostTtlMs =
          world.scenario().categories().stream().mapToDouble(Scenario.Kind::ttlMs).max().orElse(0);
      world
          .time()
          .after(
              Math.round(mostTtlMs * 1000) + MOST_STOP_US + 300_000,
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
    Incoming incoming = new Incoming();
    world.trace().note("admin", "sidecar", name, "path", path);
    world
        .fabric()
        .connect(
            app,
            address.substring(0, address.indexOf(':')) + ":" + ADMIN_PORT,
            new End.Owner() {
              @Override
              public void up(End end) {
                end.send(
                    Incoming.message(
                        "POST " + path + " HTTP/1.1", new byte[0], false, "Host", "admin"),
                    null);
              }

              @Override
              public void failed(End end) {
                answered(0);
              }

              @Override
              public void readable(End end) {
                byte[] bytes = end.readAll();
                if (bytes.length > 0) {
                  incoming.add(bytes, end.firstSentUs());
                }
                if (end.over()) {
                  end.close();
                  answered(incoming.whole() ? Integer.parseInt(incoming.word(1)) : 0);
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
      listAt = listAt.equals(Directory.ADDRESS) ? Directory.OTHER_ADDRESS : Directory.ADDRESS;
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
