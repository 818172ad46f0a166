package dillcross.cli;

import dillcross.balancer.LoadBalancer;
import dillcross.config.EnvironmentVariables;
import dillcross.config.InvalidConfigException;
import dillcross.config.MembershipConfig;
import dillcross.config.OperatorConfig;
import dillcross.config.SidecarConfig;
import dillcross.membership.MemberRecord;
import dillcross.membership.MemberState;
import dillcross.membership.Membership;
import dillcross.net.SidecarServer;
import dillcross.net.WarmUp;
import dillcross.net.client.RequestIdTable;
import dillcross.net.grizzly.GrizzlyNetwork;
import dillcross.net.membership.MembershipService;
import dillcross.net.membership.PacketCodec;
import dillcross.sidecar.EndpointListUpdate;
import dillcross.sidecar.RequestCoordinator;
import dillcross.sidecar.SidecarLimits;
import dillcross.sidecar.SidecarSettings;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.function.LongSupplier;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/**
 * Assembles one sidecar and runs it until the process is terminated. The main thread assembles it,
 * then waits for SIGHUP and hands each new configuration to the selector thread.
 */
final class ServeCommand {
  private static final Logger LOG = Logger.getLogger(ServeCommand.class.getName());
  private static final String RUN_IDS_FILE = "dillcross-run-ids";
  private static final int WARM_UP_REQUESTS = 120;
  // The share of the heap that may be held for clients and endpoints.
  private static final double HEAP_SHARE = 3 / 8.0;
  private static final int MICROS_PER_MILLI = 1000;
  private static final int NANOS_PER_MICRO = 1000;
  private static final int EXIT_CANNOT_START = 1;
  private static final int EXIT_INVALID_CONFIG = 2;

  private final String file;
  private final Optional<MembershipConfig> membership;
  private final LongSupplier clock;
  private SidecarConfig config;

  private ServeCommand(String file, String operatorFile, long clockShiftUs) {
    this.file = file != null ? file : EnvironmentVariables.configFile(System.getenv());
    config = SidecarConfig.read(this.file, System.getenv());
    membership = operatorFile(operatorFile).flatMap(this::readMembership);
    clock = clock(clockShiftUs);
  }

  /** The path of the operator file from the option, else the environment; empty if in neither. */
  private static Optional<String> operatorFile(String fileOption) {
    if (fileOption == null) {
      return EnvironmentVariables.operatorFile(System.getenv());
    }
    return Optional.of(fileOption).filter(file -> !file.isEmpty());
  }

  private Optional<MembershipConfig> readMembership(String operatorFile) {
    return OperatorConfig.read(operatorFile)
        .membership(config.name(), config.settings().balancer().zone());
  }

  /**
   * Runs a sidecar.
   *
   * @param file path of the configuration file; null if the environment names it
   * @param operatorFile path of the operator file; empty for none, null if the environment may name
   *     it
   * @param checkOnly whether to return once the sidecar is ready
   * @param clockShiftMs offset added to the wall clock, in milliseconds, for tests of clock skew
   * @return the exit status: 0 after a check, 1 if it can't start, 2 for an invalid configuration
   */
  static int run(String file, String operatorFile, boolean checkOnly, long clockShiftMs)
      throws InterruptedException {
    try {
      new ServeCommand(file, operatorFile, MICROS_PER_MILLI * clockShiftMs).run(checkOnly);
      return 0;
    } catch (InvalidConfigException e) {
      LOG.severe("configuration: " + e.getMessage());
      return EXIT_INVALID_CONFIG;
    } catch (IOException e) {
      LOG.severe("can't start: " + e.getMessage());
      return EXIT_CANNOT_START;
    }
  }

  private void run(boolean checkOnly) throws IOException, InterruptedException {
    Semaphore reloads = new Semaphore(0);
    ReloadSignal.onSignal(reloads::release); // first, as an unhandled SIGHUP ends the process
    SidecarServer server = assemble();
    server.open(config.adminAddress());
    warmUpCode();
    if (LogManager.getLogManager() instanceof ShutdownLogManager manager) {
      manager.keepHandlers();
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(server), "stop"));
    if (config.inheritsListeningSocket()) {
      server.startInherited();
    } else {
      server.startListening(config.listenAddress());
    }
    while (!checkOnly) { // until a signal terminates the process
      reloads.acquire();
      reloads.drainPermits();
      reload(server);
    }
  }

  private SidecarServer assemble() {
    SidecarSettings settings = config.settings();
    RequestCoordinator coordinator =
        new RequestCoordinator(new LoadBalancer(config.seed(), settings.balancer()));
    if (config.knownEndpoints().isPresent()) {
      EndpointListUpdate known = config.knownEndpoints().get();
      coordinator.onEndpointList(clock.getAsLong(), known.version(), true, known.entries(), false);
    }
    SidecarLimits limits =
        config
            .limits()
            .atMost(DescriptorLimit.read(), (long) (Runtime.getRuntime().maxMemory() * HEAP_SHARE));
    SidecarServer server =
        new SidecarServer(
            new GrizzlyNetwork(),
            WARM_UP_REQUESTS,
            coordinator,
            clock,
            settings,
            config.discoveryAddress(),
            limits);
    if (config.inheritsListeningSocket()) {
      EnvironmentVariables.temporaryFolder(System.getenv())
          .ifPresent(folder -> shareRunIds(server, Path.of(folder)));
    }
    membership.ifPresent(member -> server.join(membershipService(member, clock.getAsLong())));
    if (!config.pollsDiscovery()) {
      server.requireFirstList();
    }
    return server;
  }

  /** Without the file the process runs on: only ids of the other process are not known to it. */
  private static void shareRunIds(SidecarServer server, Path folder) {
    try {
      ByteBuffer memory = SharedMemory.map(folder.resolve(RUN_IDS_FILE), RequestIdTable.BYTES);
      server.shareRunIds(RequestIdTable.shared(memory, ServeCommand::monotonicUs));
    } catch (IOException e) {
      LOG.warning("request ids are not shared with another process: " + e);
    }
  }

  /** The time since the machine's start, which all its processes have in common. */
  private static long monotonicUs() {
    return System.nanoTime() / NANOS_PER_MICRO;
  }

  /** Runs the request path before clients connect, as the JVM runs new code slowly. */
  private void warmUpCode() {
    LoadBalancer balancer = new LoadBalancer(0, config.settings().balancer());
    WarmUp.run(balancer, config.settings().balancer().requestClasses());
  }

  private static void stop(SidecarServer server) {
    try {
      server.stop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private MembershipService membershipService(MembershipConfig member, long bootUs) {
    long seed = config.seed() ^ bootUs ^ member.name().hashCode();
    MemberRecord self =
        new MemberRecord(
            member.name(),
            member.advertisedAddress(),
            member.zone(),
            bootUs,
            0,
            MemberState.ALIVE,
            "");
    Membership protocol = new Membership(seed, bootUs, self, member.settings());
    return new MembershipService(
        protocol,
        new PacketCodec(member.fleet()),
        member.bindAddress(),
        member.settings().datagramBytes());
  }

  /**
   * Reads the configuration file again and applies what changed. Open requests, connections and
   * measurements stay; an invalid file changes nothing.
   */
  private void reload(SidecarServer server) throws InterruptedException {
    try {
      SidecarConfig next = SidecarConfig.read(file, System.getenv());
      next.checkReplaces(config);
      boolean hasMoved = !next.discoveryAddress().equals(config.discoveryAddress());
      boolean hasNewSettings = !next.hasSameSettings(config);
      server.runBetweenIterations(
          () -> {
            if (hasMoved) {
              server.moveDiscovery(next.discoveryAddress());
            }
            if (hasNewSettings) {
              server.applySettings(next.settings());
            }
          });
      logReload(next, hasMoved, hasNewSettings);
      config = next;
    } catch (InvalidConfigException e) {
      LOG.severe("configuration not reloaded, keeping the old one: " + e.getMessage());
    }
  }

  private void logReload(SidecarConfig next, boolean hasMoved, boolean hasNewSettings) {
    String restartOnly = String.join(", ", next.restartOnlyChanges(config));
    LOG.info(
        "configuration reloaded; settings "
            + (hasNewSettings ? "changed" : "unchanged")
            + "; discovery "
            + (hasMoved ? "moved to " : "still at ")
            + next.discoveryAddress()
            + (restartOnly.isEmpty() ? "" : "; not applied until a restart: " + restartOnly));
  }

  /**
   * A clock in microseconds since 1970, the epoch of the start times in the endpoint list. The wall
   * clock is read only once, so that the time never goes back.
   */
  private static LongSupplier clock(long shiftUs) {
    long startUs = System.currentTimeMillis() * MICROS_PER_MILLI + shiftUs;
    long startNs = System.nanoTime();
    return () -> startUs + (System.nanoTime() - startNs) / NANOS_PER_MICRO;
  }
}
