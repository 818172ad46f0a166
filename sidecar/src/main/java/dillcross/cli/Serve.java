package dillcross.cli;

import dillcross.balancer.LoadBalancer;
import dillcross.config.FaultyKey;
import dillcross.config.Given;
import dillcross.config.Operator;
import dillcross.membership.Membership;
import dillcross.net.Address;
import dillcross.net.Members;
import dillcross.net.Node;
import dillcross.net.PacketCodec;
import dillcross.net.Rehearsal;
import dillcross.net.Roster;
import dillcross.net.grizzly.GrizzlyNetwork;
import dillcross.sidecar.RequestCoordinator;
import java.io.IOException;
import java.lang.invoke.MethodHandleProxies;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.function.LongSupplier;
import java.util.logging.Logger;
import java.util.stream.Collectors;

/** Puts the parts of one sidecar together and runs it until it is told to stop. */
final class Serve {
  private static final Logger LOG = Logger.getLogger(Serve.class.getName());

  private static final int REHEARSALS = 120;
  private static final boolean ASKS =
      true; // on sockets the list tells nothing unasked, whatever the settings say

  private final String file; // null where the environment names it
  private final Operator.Members fellows; // null where it takes part among no others
  private final long shiftUs; // of the wall clock, for tests of clocks that differ
  private Given given;

  private Serve(String file, String operator, long shiftUs) {
    this.file = file;
    this.shiftUs = shiftUs;
    given = read(file);
    String named = operator != null ? operator : System.getenv("NODE_OPERATOR");
    fellows =
        named == null || named.isEmpty()
            ? null
            : Operator.file(named)
                .members(
                    given.has("name") ? given.needed("name") : "", given.below("settings").zone());
    if (fellows != null
        && fellows.advertise().isEmpty()
        && address(named + ", membership.bind", fellows.bind()).getPort() == 0) {
      throw new FaultyKey(
          named + ", membership.bind",
          "names no port, so membership.advertise has to say where others reach it");
    }
  }

  /** The configuration, once nothing is wrong with any part of it. */
  private static Given read(String file) {
    Given read = Given.file(file, System.getenv());
    address(read, "listen");
    address(read, "discovery");
    admin(read);
    known(read);
    Given settings = read.below("settings");
    read.seed();
    settings.balancerSettings(ASKS);
    settings.subscribes();
    settings.mostTtlUs();
    settings.connectUs();
    settings.keepUs();
    read.descriptors();
    read.mostBody();
    read.room();
    return read;
  }

  /**
   * The exit status: 0 after a check, 1 where it can't start, 2 for a fault in the configuration.
   */
  static int run(String file, String operator, boolean check, long shiftMs)
      throws InterruptedException {
    try {
      return new Serve(file, operator, 1000 * shiftMs).run(check);
    } catch (FaultyKey faulty) {
      LOG.severe("configuration: " + faulty.getMessage());
      return 2;
    } catch (IOException e) {
      LOG.severe("can't start: " + e.getMessage());
      return 1;
    }
  }

  private int run(boolean check) throws IOException, InterruptedException {
    Semaphore reloads = new Semaphore(0);
    onHangUp(reloads::release); // before all else: unhandled, it would end the program
    Given settings = given.below("settings");
    LongSupplier clock = clock(shiftUs);
    RequestCoordinator core =
        new RequestCoordinator(new LoadBalancer(given.seed(), settings.balancerSettings(ASKS)));
    Roster known = known(given);
    if (known != null) {
      core.onEndpointList(clock.getAsLong(), known.version(), true, known.entries(), false);
    }
    Node node =
        new Node(
            new GrizzlyNetwork(),
            REHEARSALS,
            core,
            clock,
            settings.categories(),
            settings.mostTtlUs(),
            given.needed("discovery"),
            settings.connectUs(),
            settings.keepUs(),
            Math.min(given.descriptors(), allowed()),
            given.mostBody(),
            Math.min(Runtime.getRuntime().maxMemory() / 4, given.room()));
    if (fellows != null) {
      node.joins(members(clock.getAsLong()));
    }
    if (!settings.subscribes()) {
      node.asksFirst();
    }
    node.open(admin(given));
    Rehearsal.run(new LoadBalancer(0, settings.balancerSettings(ASKS)), settings.categories());
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  try {
                    node.stop();
                  } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                  }
                },
                "stop"));
    node.start(given.has("fd") ? null : address(given, "listen"));
    while (!check) { // the end comes by a signal
      reloads.acquire();
      reloads.drainPermits();
      reload(node);
    }
    return 0;
  }

  private Members members(long bootUs) {
    String address = fellows.advertise().isEmpty() ? fellows.bind() : fellows.advertise();
    Membership membership =
        new Membership(
            given.seed() ^ bootUs ^ fellows.name().hashCode(),
            bootUs,
            fellows.name(),
            address,
            fellows.zone(),
            bootUs,
            fellows.seeds(),
            fellows.intervalUs(),
            fellows.timeoutUs(),
            fellows.mostMembers(),
            fellows.datagramBytes(),
            fellows.bytesPerS());
    return new Members(
        membership,
        new PacketCodec(fellows.fleet()),
        address("membership.bind", fellows.bind()),
        fellows.datagramBytes());
  }

  /**
   * Reads the file again. Endpoints, open ops and what was learned stay; a file with a fault
   * changes nothing.
   */
  private void reload(Node node) throws InterruptedException {
    try {
      Given next = read(file);
      next.replaces(given);
      String from = given.needed("discovery");
      String to = next.needed("discovery");
      boolean changed = !next.same(given, "settings");
      node.between(
          () -> {
            if (!to.equals(from)) {
              node.moveDiscovery(to);
            }
            if (changed) {
              Given settings = next.below("settings");
              node.settings(
                  settings.balancerSettings(ASKS),
                  settings.categories(),
                  settings.mostTtlUs(),
                  settings.connectUs(),
                  settings.keepUs());
            }
          });
      String later =
          List.of("name", "listen", "admin_addr", "limits").stream()
              .filter(key -> !next.same(given, key))
              .collect(Collectors.joining(", "));
      LOG.info(
          "configuration read again; settings "
              + (changed ? "are new" : "stay")
              + "; discovery "
              + (to.equals(from) ? "stays at " : "is now at ")
              + to
              + (later.isEmpty()
                  ? ""
                  : "; changed, and taken up at the next start only: " + later));
      given = next;
    } catch (FaultyKey faulty) {
      LOG.severe("configuration not taken over, the old one holds: " + faulty.getMessage());
    }
  }

  /**
   * The platform has no other way to hear of this signal; named by reflection, as the compiler
   * warns of the type.
   */
  private static void onHangUp(Runnable then) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object heard =
          MethodHandleProxies.asInterfaceInstance(
              handler,
              MethodHandles.dropArguments(
                  MethodHandles.lookup().bind(then, "run", MethodType.methodType(void.class)),
                  0,
                  signal));
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), heard);
    } catch (ReflectiveOperationException | IllegalArgumentException e) {
      LOG.warning("SIGHUP can't be handled here, and would end the program: " + e);
    }
  }

  private static Roster known(Given given) {
    try {
      return given.below("known").tree().isEmpty() ? null : Roster.of(given.below("known").tree());
    } catch (IllegalArgumentException e) {
      throw new FaultyKey("known", e.getMessage());
    }
  }

  /** Where operators call; null where they have no admin endpoint. */
  private static InetSocketAddress admin(Given given) {
    return given.has("admin_addr") ? address(given, "admin_addr") : null;
  }

  private static InetSocketAddress address(Given given, String key) {
    return address(key, given.needed(key));
  }

  private static InetSocketAddress address(String key, String text) {
    InetSocketAddress address = Address.parse(text);
    if (address == null) {
      throw new FaultyKey(key, "not a numeric address and port: " + text);
    }
    return address;
  }

  /** How many descriptors the system allows this process, where it tells. */
  private static int allowed() {
    try {
      for (String line : Files.readAllLines(Path.of("/proc/self/limits"))) {
        if (line.startsWith("Max open files")) {
          return Integer.parseInt(line.substring("Max open files".length()).trim().split(" +")[0]);
        }
      }
    } catch (IOException | NumberFormatException unknown) {
      LOG.fine("the limit of descriptors is not known");
    }
    return Integer.MAX_VALUE;
  }

  /** Whole microseconds since 1970, as the list counts starts, that never go back. */
  private static LongSupplier clock(long shiftUs) {
    long startUs = System.currentTimeMillis() * 1000 + shiftUs;
    long startNs = System.nanoTime();
    return () -> startUs + (System.nanoTime() - startNs) / 1000;
  }
}
