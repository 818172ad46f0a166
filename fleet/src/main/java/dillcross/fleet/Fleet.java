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

/** Real processes of the sidecar on loopback that know each other through the fault plane. */
final class Fleet implements AutoCloseable {
  private final Path root;
  private final Path out;
  private final int intervalMs;
  private final List<String> zones;
  private final List<Integer> seeds;
  private final ChildProcess[] children;
  private final long[] shiftMs;
  private final Set<Integer> alone = new TreeSet<>(); // without membership
  private String list = "127.0.0.1:1"; // nobody
  private final String[] lists; // of those that have one of their own
  final DatagramFaultProxy plane;

  /**
   * @param root of the repository, where the built program is
   * @param zones of the members, by turns
   * @param seeds members whom all others ask at the start
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
    shiftMs = new long[members];
    lists = new String[members];
    plane = new DatagramFaultProxy(members, seed);
  }

  /** The folder of the repository: this one, or the first above it that holds the built program. */
  static Path root() throws IOException {
    for (Path at = Path.of("").toAbsolutePath(); at != null; at = at.getParent()) {
      if (Files.exists(at.resolve("sidecar/target/dillcross.jar"))) {
        return at;
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

  /** Which have started and not been ended by us. */
  boolean runs(int member) {
    return children[member] != null;
  }

  ChildProcess child(int member) {
    return children[member];
  }

  /** Sets a member's wall clock apart, from its next start on. */
  void shift(int member, long ms) {
    shiftMs[member] = ms;
  }

  /** Where the list service of all is, from the next start on. */
  void lists(String address) {
    list = address;
  }

  /** Where that one asks for its list, from its next start on. */
  void lists(int member, String address) {
    lists[member] = address;
  }

  /** That one takes part in no membership, from its next start on. */
  void alone(int member) {
    alone.add(member);
  }

  /** Where its clients reach a member; null while it is not ready. */
  String listensNow(int member) {
    ChildProcess child = children[member];
    return child == null ? null : child.addressNow();
  }

  void start(int member) throws IOException {
    start(member, name(member));
  }

  void start(int member, String as) throws IOException {
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
                as,
                lists[member] == null ? list : lists[member],
                member + 1,
                zone(member),
                member,
                children.length));
    String seedAddresses =
        seeds.stream().map(s -> "\"" + plane.address(s) + "\"").collect(Collectors.joining(", "));
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
                DatagramFaultProxy.home(member), plane.address(member), seedAddresses, intervalMs));
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
                "--clock-shift-ms=" + shiftMs[member]));
    command.addAll(alone.contains(member) ? List.of() : List.of("--operator", operator.toString()));
    children[member] =
        new ChildProcess(
            command, root, out.resolve(name(member) + ".log"), home -> plane.isAt(member, home));
  }

  void startAll() throws IOException {
    for (int i = 0; i < children.length; i++) {
      start(i);
    }
  }

  /** SIGKILL; its place is empty from then on. */
  void kill(int member) throws IOException, InterruptedException {
    ChildProcess child = children[member];
    children[member] = null;
    if (child != null) {
      child.signal("KILL");
      child.close();
    }
  }

  void signal(int member, String name) throws IOException, InterruptedException {
    if (children[member] != null) {
      children[member].signal(name);
    }
  }

  /** CPU that these used so far, in milliseconds; those that do not run count for nothing. */
  long cpuMs(Set<Integer> members) {
    return members.stream().filter(this::runs).mapToLong(m -> children[m].cpuMs()).sum();
  }

  /** Null where it gives none, as when it is stopped or starts. */
  MembershipView view(int member) {
    ChildProcess child = children[member];
    String admin = child == null ? null : child.adminNow();
    try {
      return admin == null ? null : MembershipView.of(admin);
    } catch (IOException silent) {
      return null;
    }
  }

  /** Whether every one of these holds just these for alive. */
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

  /** Waits until that holds; how many milliseconds it took, or -1 where it did not come in time. */
  static long until(long maxMs, java.util.concurrent.Callable<Boolean> holds) throws Exception {
    long from = System.nanoTime();
    while (!holds.call()) {
      if (System.nanoTime() - from > maxMs * 1_000_000) {
        return -1;
      }
      Thread.sleep(50);
    }
    return (System.nanoTime() - from) / 1_000_000;
  }

  Set<Integer> all() {
    return IntStream.range(0, children.length)
        .boxed()
        .collect(Collectors.toCollection(TreeSet::new));
  }

  Set<Integer> those(Predicate<Integer> which) {
    return all().stream().filter(which).collect(Collectors.toCollection(TreeSet::new));
  }

  static LinkFault cut(Set<Integer> from, Set<Integer> to) {
    return new LinkFault(from, to, 1, 0, 0, 0, 0);
  }

  /** Cuts two parts from each other, both ways. */
  List<LinkFault> split(Set<Integer> one, Set<Integer> other) {
    List<LinkFault> both = List.of(cut(one, other), cut(other, one));
    plane.faults.addAll(both);
    return both;
  }

  @Override
  public void close() throws IOException {
    for (ChildProcess child : Arrays.asList(children)) {
      if (child != null) {
        child.close();
      }
    }
    plane.close();
  }
}
