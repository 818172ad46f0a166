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
 * Many memberships in virtual time, with the datagrams between them: the sidecar's own class and
 * codec on a network that loses, delays, doubles and cuts by a seed. One thread, no clock; the same
 * seed plays the same.
 */
public final class MembershipCluster {
  /** What is wrong on the way, while it lasts; from whom to whom. */
  public record LinkFault(
      IntPredicate from, IntPredicate to, double loss, long jitterUs, double twice) {}

  private static final class Node {
    final int number;
    Membership membership; // null where it does not run
    long boot;
    long pausedUntilUs; // the process stands still: what comes waits in its socket
    final List<Incoming> waiting = new ArrayList<>();
    long wakeUs = Long.MAX_VALUE; // the latest one that was put in

    Node(int number) {
      this.number = number;
    }
  }

  private record Incoming(String from, byte[] bytes) {}

  private static final int SOCKET = 300; // datagrams that wait in one that is not read
  private final VirtualClock time = new VirtualClock(1_000_000_000L);
  private final List<Node> nodes = new ArrayList<>();
  private final List<LinkFault> faults = new ArrayList<>();
  private final RandomStream random;
  private final PacketCodec codec = new PacketCodec("swarm");
  private final long seed;
  private final int zones;
  private final int seedCount;
  private final long intervalUs;
  private final long timeoutUs;
  private final long wayUs;
  private long packets;
  private long bytes;

  /**
   * @param seedCount how many of the first members are seeds
   * @param wayUs of a datagram, up to twice that between zones
   */
  public MembershipCluster(
      int members, int zones, int seedCount, long intervalUs, long wayUs, long seed) {
    this.seed = seed;
    this.zones = zones;
    this.seedCount = seedCount;
    this.intervalUs = intervalUs;
    timeoutUs = 3 * intervalUs / 10;
    this.wayUs = wayUs;
    random = RandomStream.of(seed).named("swarm");
    for (int i = 0; i < members; i++) {
      nodes.add(new Node(i));
    }
  }

  public long now() {
    return time.now();
  }

  public long packets() {
    return packets;
  }

  /** Carried, as encoded. */
  public long bytes() {
    return bytes;
  }

  public List<LinkFault> faults() {
    return faults;
  }

  static String name(int member) {
    return "s" + member;
  }

  private static String address(int member) {
    return "10.0." + (member >> 8) + "." + (member & 255) + ":7000";
  }

  private static int member(String address) {
    String[] parts = address.split("[.:]");
    return Integer.parseInt(parts[2]) << 8 | Integer.parseInt(parts[3]);
  }

  public String zone(int member) {
    return "z" + member % zones;
  }

  /** Starts a process in that place, by a wall clock that is apart by so much. */
  public void start(int member, long shiftUs) {
    Node node = nodes.get(member);
    node.boot = Math.max(1, now() + shiftUs);
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
    node.waiting.clear();
    node.pausedUntilUs = 0;
    node.wakeUs = Long.MAX_VALUE;
    turn(node);
  }

  public void kill(int member) {
    nodes.get(member).membership = null;
  }

  public boolean runs(int member) {
    return nodes.get(member).membership != null;
  }

  /** Its process stands still for so long: no timer runs, what comes waits. */
  public void pause(int member, long forUs) {
    Node node = nodes.get(member);
    node.pausedUntilUs = now() + forUs;
    Membership of = node.membership;
    time.at(
        node.pausedUntilUs,
        () -> {
          if (node.membership == of && of != null) {
            List<Incoming> came = List.copyOf(node.waiting);
            node.waiting.clear();
            came.forEach(c -> hear(node, c));
            turn(node);
          }
        });
  }

  public Membership of(int member) {
    return nodes.get(member).membership;
  }

  /** What one holds of another; null where it knows of none. */
  public MemberState holds(int observer, int subject) {
    for (Member m : nodes.get(observer).membership.members()) {
      if (m.record().name().equals(name(subject))) {
        return m.record().state();
      }
    }
    return null;
  }

  public void after(long us, Runnable what) {
    time.after(us, what);
  }

  /** Plays on to that time. */
  public void pass(long us) {
    long until = now() + us;
    boolean more = true;
    while (more) {
      more = time.step(until); // each event does its own
    }
  }

  private void turn(Node node) {
    if (node.membership == null || now() < node.pausedUntilUs) {
      return;
    }
    if (now() >= node.membership.nextDueUs()) {
      node.membership.onTime(now());
    }
    for (OutboundPacket sent; (sent = node.membership.next()) != null; ) {
      send(node.number, member(sent.receiver()), codec.encode(sent.packet()));
    }
    long due = Math.max(now() + 1, node.membership.nextDueUs());
    if (due < node.wakeUs || node.wakeUs <= now()) {
      node.wakeUs = due;
      Membership of = node.membership;
      time.at(
          due,
          () -> {
            if (node.membership == of) {
              if (node.wakeUs == due) {
                node.wakeUs = Long.MAX_VALUE;
              }
              turn(node);
            }
          });
    }
  }

  private void send(int from, int to, byte[] what) {
    packets++;
    bytes += what.length;
    long us = (long) (wayUs * random.between(0.7, 1.3) * (from % zones == to % zones ? 1 : 2));
    int copies = 1;
    for (LinkFault fault : faults) {
      if (fault.from.test(from) && fault.to.test(to)) {
        if (random.happens(fault.loss)) {
          return;
        }
        us += random.between(0L, fault.jitterUs);
        copies += random.happens(fault.twice) ? 1 : 0;
      }
    }
    for (int i = 0; i < copies && to < nodes.size(); i++) {
      time.at(
          now() + us + i * 100L, () -> arrive(nodes.get(to), new Incoming(address(from), what)));
    }
  }

  private void arrive(Node node, Incoming incoming) {
    if (node.membership == null) {
      return;
    }
    if (now() < node.pausedUntilUs) {
      if (node.waiting.size() < SOCKET) {
        node.waiting.add(incoming);
      }
      return;
    }
    hear(node, incoming);
    turn(node);
  }

  private void hear(Node node, Incoming incoming) {
    Packet packet = codec.decode(incoming.bytes, 0, incoming.bytes.length).orElseThrow();
    node.membership.onPacket(now(), packet);
  }
}
