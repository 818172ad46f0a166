package dillcross.emulator.membership;

import dillcross.emulator.random.RandomStream;
import dillcross.emulator.time.VirtualClock;
import dillcross.membership.Member;
import dillcross.membership.MemberRecord;
import dillcross.membership.MemberState;
import dillcross.membership.Membership;
import dillcross.membership.MembershipSettings;
import dillcross.membership.OutboundPacket;
import dillcross.membership.Packet;
import dillcross.net.membership.PacketCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;

/**
 * Many instances of the sidecar's {@link Membership} in virtual time, connected by a simulated
 * network that loses, delays and duplicates datagrams. Members are numbered from 0. Runs with the
 * same seed are identical. Times are virtual and in µs; one thread.
 */
public final class MembershipCluster {
  /**
   * A fault of the network, in effect while it is in {@link #faults()}.
   *
   * @param from the senders concerned, by number
   * @param to the receivers concerned, by number
   * @param loss probability from 0 to 1 that a datagram is lost
   * @param jitterUs maximum additional delay in µs
   * @param duplication probability from 0 to 1 that a datagram is delivered twice
   */
  public record LinkFault(
      IntPredicate from, IntPredicate to, double loss, long jitterUs, double duplication) {}

  private static final class Node {
    final int number;
    Membership membership; // null while the process does not run
    long boot; // start of the process by its wall clock in µs, at least 1
    long pausedUntilUs; // 0 if not paused since the process started
    final List<Incoming> received = new ArrayList<>(); // datagrams that arrived during a pause
    long wakeUs = Long.MAX_VALUE; // when the timer in effect expires; MAX_VALUE if none

    Node(int number) {
      this.number = number;
    }
  }

  private record Incoming(String from, byte[] bytes) {}

  /** Number of datagrams that a paused process's socket holds; further ones are lost. */
  private static final int RECEIVE_QUEUE_SIZE = 300;

  private final VirtualClock clock = new VirtualClock(1_000_000_000L);
  private final List<Node> nodes = new ArrayList<>();
  private final List<LinkFault> faults = new ArrayList<>();
  private final RandomStream random;
  private final PacketCodec codec = new PacketCodec("swarm");
  private final long seed;
  private final int zones;
  private final int seedCount;
  private final long intervalUs;
  private final long timeoutUs;
  private final long latencyUs;
  private long packets;
  private long bytes;

  /**
   * Creates a cluster in which no member runs yet.
   *
   * @param zones number of zones, to which members belong in rotation
   * @param seedCount number of members, from the first on, that all others join through
   * @param intervalUs time between two probes of a member
   * @param latencyUs mean latency of a datagram within a zone; twice that between zones
   */
  public MembershipCluster(
      int members, int zones, int seedCount, long intervalUs, long latencyUs, long seed) {
    this.seed = seed;
    this.zones = zones;
    this.seedCount = seedCount;
    this.intervalUs = intervalUs;
    timeoutUs = 3 * intervalUs / 10;
    this.latencyUs = latencyUs;
    random = RandomStream.of(seed).named("swarm");
    for (int i = 0; i < members; i++) {
      nodes.add(new Node(i));
    }
  }

  public long now() {
    return clock.now();
  }

  /** Number of datagrams sent, including lost ones. */
  public long packets() {
    return packets;
  }

  /** Total payload of the datagrams sent, including lost ones. */
  public long bytes() {
    return bytes;
  }

  /** The network faults in effect; may be changed at any time. */
  public List<LinkFault> faults() {
    return faults;
  }

  static String name(int member) {
    return "s" + member;
  }

  private static String address(int member) {
    return "10.0." + (member >> 8) + "." + (member & 255) + ":7000";
  }

  private static int memberAt(String address) {
    String[] parts = address.split("[.:]");
    return Integer.parseInt(parts[2]) << 8 | Integer.parseInt(parts[3]);
  }

  public String zone(int member) {
    return "z" + member % zones;
  }

  /**
   * Starts a new process of the member, whose wall clock is ahead of virtual time by {@code
   * clockShiftUs}.
   */
  public void start(int member, long clockShiftUs) {
    Node node = nodes.get(member);
    node.boot = Math.max(1, now() + clockShiftUs);
    List<String> seeds = new ArrayList<>();
    for (int i = 0; i < seedCount; i++) {
      seeds.add(address(i));
    }
    node.membership =
        new Membership(
            seed * 31 + member * 7919L + node.boot,
            now(),
            new MemberRecord(
                name(member), address(member), zone(member), node.boot, 0, MemberState.ALIVE, ""),
            new MembershipSettings(seeds, intervalUs, timeoutUs, 4096, 1200, 20_000));
    node.received.clear();
    node.pausedUntilUs = 0;
    node.wakeUs = Long.MAX_VALUE;
    runTimersAndSend(node);
  }

  /** Ends the member's process without notice to the others. */
  public void kill(int member) {
    nodes.get(member).membership = null;
  }

  public boolean runs(int member) {
    return nodes.get(member).membership != null;
  }

  /** Suspends the member's process: no timer runs, and datagrams wait in its socket. */
  public void pause(int member, long durationUs) {
    Node node = nodes.get(member);
    node.pausedUntilUs = now() + durationUs;
    Membership paused = node.membership;
    clock.at(
        node.pausedUntilUs,
        () -> {
          if (node.membership == paused && paused != null) {
            List<Incoming> received = List.copyOf(node.received);
            node.received.clear();
            received.forEach(incoming -> handle(node, incoming));
            runTimersAndSend(node);
          }
        });
  }

  /** The member's own instance; null while its process does not run. */
  public Membership membership(int member) {
    return nodes.get(member).membership;
  }

  /** The state of {@code subject} in the table of a running observer; null if it has no entry. */
  public MemberState stateSeenBy(int observer, int subject) {
    for (Member m : nodes.get(observer).membership.members()) {
      if (m.record().name().equals(name(subject))) {
        return m.record().state();
      }
    }
    return null;
  }

  /**
   * Schedules an action to run after the delay in virtual time, within a call of {@link #advance}.
   */
  public void schedule(long delayUs, Runnable action) {
    clock.after(delayUs, action);
  }

  /** Advances virtual time by the duration, and runs all events that are due until then. */
  public void advance(long durationUs) {
    long untilUs = now() + durationUs;
    boolean hasMore = true;
    while (hasMore) {
      hasMore = clock.step(untilUs);
    }
  }

  private void runTimersAndSend(Node node) {
    if (node.membership == null || now() < node.pausedUntilUs) {
      return;
    }
    if (now() >= node.membership.nextDueUs()) {
      node.membership.onTime(now());
    }
    for (OutboundPacket sent; (sent = node.membership.next()) != null; ) {
      send(node.number, memberAt(sent.receiver()), codec.encode(sent.packet()));
    }
    long dueUs = Math.max(now() + 1, node.membership.nextDueUs());
    if (dueUs < node.wakeUs || node.wakeUs <= now()) {
      node.wakeUs = dueUs;
      Membership scheduled = node.membership;
      clock.at(
          dueUs,
          () -> {
            if (node.membership == scheduled) {
              if (node.wakeUs == dueUs) {
                node.wakeUs = Long.MAX_VALUE;
              }
              runTimersAndSend(node);
            }
          });
    }
  }

  private void send(int from, int to, byte[] datagram) {
    packets++;
    bytes += datagram.length;
    long delayUs =
        (long) (latencyUs * random.between(0.7, 1.3) * (from % zones == to % zones ? 1 : 2));
    int copies = 1;
    for (LinkFault fault : faults) {
      if (fault.from.test(from) && fault.to.test(to)) {
        if (random.happens(fault.loss)) {
          return;
        }
        delayUs += random.between(0L, fault.jitterUs);
        copies += random.happens(fault.duplication) ? 1 : 0;
      }
    }
    for (int i = 0; i < copies && to < nodes.size(); i++) {
      clock.at(
          now() + delayUs + i * 100L,
          () -> arrive(nodes.get(to), new Incoming(address(from), datagram)));
    }
  }

  private void arrive(Node node, Incoming incoming) {
    if (node.membership == null) {
      return;
    }
    if (now() < node.pausedUntilUs) {
      if (node.received.size() < RECEIVE_QUEUE_SIZE) {
        node.received.add(incoming);
      }
      return;
    }
    handle(node, incoming);
    runTimersAndSend(node);
  }

  private void handle(Node node, Incoming incoming) {
    Packet packet = codec.decode(incoming.bytes, 0, incoming.bytes.length).orElseThrow();
    node.membership.onPacket(now(), packet);
  }
}
