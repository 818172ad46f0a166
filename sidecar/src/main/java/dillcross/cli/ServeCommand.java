package dillcross.cli;

import dillcross.balancer.LoadBalancer;
import dillcross.config.ConfigValues;
import dillcross.config.InvalidConfigException;
import dillcross.config.MembershipConfig;
import dillcross.config.OperatorConfig;
import dillcross.config.SidecarConfig;
import dillcross.membership.MemberRecord;
import dillcross.membership.MemberState;
import dillcross.membership.Membership;
import dillcross.net.SidecarServer;
import dillcross.net.WarmUp;
import dillcross.net.grizzly.GrizzlyNetwork;
import dillcross.net.membership.MembershipService;
import dillcross.net.membership.PacketCodec;
import dillcross.sidecar.EndpointListUpdate;
import dillcross.sidecar.RequestCoordinator;
import dillcross.sidecar.SidecarLimits;
import dillcross.sidecar.SidecarSettings;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.function.LongSupplier;
import java.util.logging.Logger;

/** Assembles one sidecar and runs it until it is told to stop. */
final class ServeCommand {
  private static final Logger LOG = Logger.getLogger(ServeCommand.class.getName());
  private static final int WARM_UP_REQUESTS = 120;
  private static final int MICROS_PER_MILLI = 1000;
  private static final int NANOS_PER_MICRO = 1000;
  private static final int EXIT_CANNOT_START = 1;
  private static final int EXIT_INVALID_CONFIG = 2;

  private final String file;
  private final Optional<MembershipConfig> membership;
  private final LongSupplier clock;
  private SidecarConfig config;

  private ServeCommand(String file, String operatorFile, long clockShiftUs) {
    this.file = file != null ? file : ConfigValues.fileNamedBy(System.getenv());
    config = SidecarConfig.read(this.file, System.getenv());
    String operator = operatorFile != null ? operatorFile : System.getenv("NODE_OPERATOR");
    boolean hasOperator = operator != null && !operator.isEmpty();
    membership = hasOperator ? readMembership(operator) : Optional.empty();
    clock = clock(clockShiftUs);
  }

  private Optional<MembershipConfig> readMembership(String operatorFile) {
    Optional<MembershipConfig> read =
        OperatorConfig.read(operatorFile)
            .membership(config.name(), config.settings().balancer().zone());
    read.ifPresent(member -> checkReachable(operatorFile, member));
    return read;
  }

  private static void checkReachable(String operatorFile, MembershipConfig member) {
    String key = operatorFile + ", membership.bind";
    boolean isAnyPort = SidecarConfig.address(key, member.bind()).getPort() == 0;
    if (member.advertise().isEmpty() && isAnyPort) {
      throw new InvalidConfigException(
          key, "names no port, so membership.advertise has to say where others reach it");
    }
  }

  /**
   * Runs a sidecar.
   *
   * @param file null where the environment names the configuration
   * @param operatorFile null where the environment names it, if there is one
   * @param checkOnly whether to return once it is ready
   * @param clockShiftMs of the wall clock, for tests of clocks that differ
   * @return the exit status: 0 after a check, 1 where it can't start, 2 for an invalid
   *     configuration
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
    HangUpSignal.onSignal(reloads::release); // before all else: unhandled, it would end the program
    SidecarServer server = assemble();
    server.open(config.adminAddress());
    warmUpCode();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(server), "stop"));
    if (config.inheritsListeningSocket()) {
      server.startInherited();
    } else {
      server.startListening(config.listenAddress());
    }
    while (!checkOnly) { // the end comes by a signal
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
        config.limits().atMost(DescriptorLimit.read(), Runtime.getRuntime().maxMemory() / 4);
    SidecarServer server =
        new SidecarServer(
            new GrizzlyNetwork(),
            WARM_UP_REQUESTS,
            coordinator,
            clock,
            settings,
            config.discoveryAddress(),
            limits);
    membership.ifPresent(member -> server.join(service(member, clock.getAsLong())));
    if (!config.pollsDiscovery()) {
      server.requireFirstList();
    }
    return server;
  }

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

  private MembershipService service(MembershipConfig member, long bootUs) {
    String address = member.advertise().isEmpty() ? member.bind() : member.advertise();
    long seed = config.seed() ^ bootUs ^ member.name().hashCode();
    MemberRecord self =
        new MemberRecord(member.name(), address, member.zone(), bootUs, 0, MemberState.ALIVE, "");
    Membership protocol = new Membership(seed, bootUs, self, member.settings());
    return new MembershipService(
        protocol,
        new PacketCodec(member.fleet()),
        SidecarConfig.address("membership.bind", member.bind()),
        member.settings().datagramBytes());
  }

  /** Reads the file again. What is open or learned stays; an invalid file changes nothing. */
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
            + (restartOnly.isEmpty() ? "" : "; taken on by a restart only: " + restartOnly));
  }

  /** Whole microseconds since 1970, as the endpoint list counts starts, that never go back. */
  private static LongSupplier clock(long shiftUs) {
    long startUs = System.currentTimeMillis() * MICROS_PER_MILLI + shiftUs;
    long startNs = System.nanoTime();
    return () -> startUs + (System.nanoTime() - startNs) / NANOS_PER_MICRO;
  }
}
