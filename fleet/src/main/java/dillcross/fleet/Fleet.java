package dillcross.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A group of sidecar processes on loopback. Their membership datagrams pass through a {@link
 * DatagramFaultProxy}, which injects network faults. Members are numbered from 0.
 */
final class Fleet implements AutoCloseable {
  private final Path root;
  private final Path out;
  private final int intervalMs;
  private final List<String> zones;
  private final List<Integer> seeds;
  private final ChildProcess[] children;
  private final long[] clockShiftMs;
  private final Set<Integer> withoutMembership = new TreeSet<>(); // by member number

  // Used by members without a list service of their own. Nothing listens on port 1.
  private String defaultListAddress = "127.0.0.1:1";

  private final String[] listAddresses; // by member; null where a member uses the default list
  final DatagramFaultProxy datagramProxy;

  /**
   * Creates the fleet without starting a process.
   *
   * @param root the root directory of the repository, which holds the built program
   * @param out the directory for configuration files and logs; created if missing
   * @param members the number of sidecars
   * @param zones zone names, assigned to the members in rotation
   * @param seeds the members that every member contacts at its start
   * @param intervalMs the probe interval of the membership protocol
   * @param seed the seed of the random faults of the datagram proxy
   */
  Fleet(
      Path root,
      Path out,
      int members,
      List<String> zones,
      List<Integer> seeds,
      int intervalMs,
      long seed)
      throws IOException {
    this.root = root;
    this.out = Files.createDirectories(out);
    this.zones = zones;
    this.seeds = seeds;
    this.intervalMs = intervalMs;
    children = new ChildProcess[members];
    clockShiftMs = new long[members];
    listAddresses = new String[members];
    datagramProxy = new DatagramFaultProxy(members, seed);
  }

  /**
   * Finds the root directory of the repository: the nearest directory, from the working directory
   * upwards, that holds the built program.
   *
   * @throws IOException if no such directory holds {@code sidecar/target/dillcross.jar}
   */
  static Path root() throws IOException {
    for (Path directory = Path.of("").toAbsolutePath();
        directory != null;
        directory = directory.getParent()) {
      if (Files.exists(directory.resolve("sidecar/target/dillcross.jar"))) {
        return directory;
      }
    }
    throw new IOException(
        "sidecar/target/dillcross.jar is missing; build it with: mvn -B -ntp verify");
  }

  int size() {
    return children.length;
  }

  static String name(int member) {
    return "s" + member;
  }

  String zone(int member) {
    return zones.get(member % zones.size());
  }

  /** True if the member was started and not killed with {@link #kill} since. */
  boolean isRunning(int member) {
    return children[member] != null;
  }

  /** The process of the member; null if the member is not running. */
  ChildProcess child(int member) {
    return children[member];
  }

  /** Shifts a member's wall clock by {@code ms} milliseconds, from its next start on. */
  void setClockShift(int member, long ms) {
    clockShiftMs[member] = ms;
  }

  /**
   * Sets the {@code host:port} of the list service of every member without one of its own. Takes
   * effect at a member's next start.
   */
  void setListAddress(String address) {
    defaultListAddress = address;
  }

  /**
   * Sets the {@code host:port} of one member's list service. Takes effect at the member's next
   * start.
   */
  void setListAddress(int member, String address) {
    listAddresses[member] = address;
  }

  /** Makes the member start without membership, from its next start on. */
  void disableMembership(int member) {
    withoutMembership.add(member);
  }

  /** The {@code host:port} at which clients reach the member; null until the member is ready. */
  String clientAddress(int member) {
    ChildProcess child = children[member];
    return child == null ? null : child.addressNow();
  }

  void start(int member) throws IOException {
    start(member, name(member));
  }

  /** Starts the member under a name that may also be that of another member. */
  void start(int member, String advertisedName) throws IOException {
    Path config = out.resolve(name(member) + ".json");
    Path operator = out.resolve(name(member) + ".toml");
    Files.writeString(
        config,
        """
                {"name": "%s", "listen": "127.0.0.1:0", "admin_addr": "127.0.0.1:0", "discovery": "%s", "seed": "%x",
                 "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
                 "settings": {"locality": "%s", "me": %d, "balancers": %d, "discovery": "subscribe",
                  "categories": [{"name": "read", "effect": "idempotent", "target_latency_ms": 300, "ttl_ms": 1000, "benefit": 1}]}}
                """
            .formatted(
                advertisedName,
                listAddresses[member] == null ? defaultListAddress : listAddresses[member],
                member + 1,
                zone(member),
                member,
                children.length));
    String seedAddresses =
        seeds.stream()
            .map(s -> "\"" + datagramProxy.address(s) + "\"")
            .collect(Collectors.joining(", "));
    Files.writeString(
        operator,
        """
                [membership]
                bind = "%s:0"
                advertise = "%s"
                seeds = [%s]
                interval_ms = %d
                """
            .formatted(
                DatagramFaultProxy.bindAddress(member),
                datagramProxy.address(member),
                seedAddresses,
                intervalMs));
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:SharedArchiveFile=sidecar/target/dillcross.jsa",
                "-Xshare:auto",
                "-Xlog:disable",
                "-Xms16m",
                "-Xmx64m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:-UsePerfData",
                "-Djava.net.preferIPv4Stack=true",
                "-jar",
                "sidecar/target/dillcross.jar",
                "serve",
                "--config",
                config.toString(),
                "--clock-shift-ms=" + clockShiftMs[member]));
    command.addAll(
        withoutMembership.contains(member)
            ? List.of()
            : List.of("--operator", operator.toString()));
    children[member] =
        new ChildProcess(
            command,
            root,
            out.resolve(name(member) + ".log"),
            address -> datagramProxy.setMemberAddress(member, address));
  }

  void startAll() throws IOException {
    for (int i = 0; i < children.length; i++) {
      start(i);
    }
  }

  /** Ends the member with SIGKILL. Does nothing if the member is not running. */
  void kill(int member) throws IOException, InterruptedException {
    ChildProcess child = children[member];
    children[member] = null;
    if (child != null) {
      child.signal("KILL");
      child.close();
    }
  }

  /** Sends STOP, CONT, TERM or KILL to the member. Does nothing if the member is not running. */
  void signal(int member, String name) throws IOException, InterruptedException {
    if (children[member] != null) {
      children[member].signal(name);
    }
  }

  /**
   * The total CPU time that these members' current processes have used, in milliseconds. Members
   * that are not running add 0.
   */
  long cpuMs(Set<Integer> members) {
    return members.stream().filter(this::isRunning).mapToLong(m -> children[m].cpuMs()).sum();
  }

  /**
   * The member's own view of the membership; null if the member does not answer, for example while
   * it is stopped or starting.
   */
  MembershipView view(int member) {
    ChildProcess child = children[member];
    String admin = child == null ? null : child.adminNow();
    try {
      return admin == null ? null : MembershipView.of(admin);
    } catch (IOException noAnswer) {
      return null;
    }
  }

  /**
   * True if every one of these members reports exactly these members as alive, and none as suspect.
   */
  boolean agree(Set<Integer> members) {
    Set<String> names =
        members.stream().map(Fleet::name).collect(Collectors.toCollection(TreeSet::new));
    return members.stream()
        .allMatch(
            m -> {
              MembershipView view = view(m);
              Set<String> alive = new TreeSet<>(Set.of(name(m)));
              if (view != null) {
                view.states()
                    .forEach(
                        (name, state) -> {
                          if (state.equals("alive") || state.equals("suspect")) {
                            alive.add(name);
                          }
                        });
              }
              return view != null && alive.equals(names) && !view.states().containsValue("suspect");
            });
  }

  /**
   * Polls the condition every 50 ms until it holds.
   *
   * @return the waiting time in milliseconds, or -1 if the condition did not hold within {@code
   *     maxMs}
   */
  static long waitUntil(long maxMs, java.util.concurrent.Callable<Boolean> condition)
      throws Exception {
    long startNs = System.nanoTime();
    while (!condition.call()) {
      if (System.nanoTime() - startNs > maxMs * 1_000_000) {
        return -1;
      }
      Thread.sleep(50);
    }
    return (System.nanoTime() - startNs) / 1_000_000;
  }

  Set<Integer> allMembers() {
    return IntStream.range(0, children.length)
        .boxed()
        .collect(Collectors.toCollection(TreeSet::new));
  }

  /** The numbers of the members for which the predicate holds, whether they run or not. */
  Set<Integer> membersWhere(Predicate<Integer> predicate) {
    return allMembers().stream().filter(predicate).collect(Collectors.toCollection(TreeSet::new));
  }

  /** A fault that drops every datagram from one group to another, in that direction only. */
  static LinkFault cut(Set<Integer> from, Set<Integer> to) {
    return new LinkFault(from, to, 1, 0, 0, 0, 0);
  }

  /**
   * Drops all datagrams between two groups of members, in both directions.
   *
   * @return the two faults, which the caller removes to heal the partition
   */
  List<LinkFault> split(Set<Integer> first, Set<Integer> second) {
    List<LinkFault> faults = List.of(cut(first, second), cut(second, first));
    datagramProxy.faults.addAll(faults);
    return faults;
  }

  @Override
  public void close() throws IOException {
    for (ChildProcess child : Arrays.asList(children)) {
      if (child != null) {
        child.close();
      }
    }
    datagramProxy.close();
  }
}
