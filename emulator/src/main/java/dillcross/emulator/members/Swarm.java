package dillcross.emulator.members;

import dillcross.emulator.chance.Chance;
import dillcross.emulator.time.Timeline;
import dillcross.membership.Member;
import dillcross.membership.MemberRecord;
import dillcross.membership.MemberState;
import dillcross.membership.Membership;
import dillcross.membership.MembershipSettings;
import dillcross.membership.Packet;
import dillcross.membership.OutboundPacket;
import dillcross.net.PacketCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;

/**
 * Many memberships in virtual time, with the datagrams between them: the sidecar's own class and
 * codec on a network that loses, delays, doubles and cuts by a seed. One thread, no clock; the same
 * seed plays the same.
 */
public final class Swarm {
  /** What is wrong on the way, while it lasts; from whom to whom. */
  public record Ill(IntPredicate from, IntPredicate to, double loss, long jitterUs, double twice) {}

  private static final class Node {
    final int number;
    Membership is; // null where it does not run
    long boot;
    long pausedUntilUs; // the process stands still: what comes waits in its socket
    final List<Coming> waiting = new ArrayList<>();
    long wakeUs = Long.MAX_VALUE; // the latest one that was put in
    long diedUs = -1;

    Node(int number) {
      this.number = number;
    }
  }

  private record Coming(String from, byte[] bytes) {}

  private static final int SOCKET = 300; // datagrams that wait in one that is not read
  private final Timeline time = new Timeline(1_000_000_000L);
  private final List<Node> nodes = new ArrayList<>();
  private final List<Ill> ills = new ArrayList<>();
  private final Chance chance;
  private final PacketCodec codec = new PacketCodec("swarm");
  private final long seed;
  private final int zones;
  private final int asked;
  private final long intervalUs;
  private final long timeoutUs;
  private final long wayUs;
  private long packets;
  private long bytes;

  /**
   * @param asked how many of the first members are seeds
   * @param wayUs of a datagram, up to twice that between zones
   */
  public Swarm(int members, int zones, int asked, long intervalUs, long wayUs, long seed) {
    this.seed = seed;
    this.zones = zones;
    this.asked = asked;
    this.intervalUs = intervalUs;
    timeoutUs = 3 * intervalUs / 10;
    this.wayUs = wayUs;
    chance = Chance.of(seed).named("swarm");
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

  public List<Ill> ills() {
    return ills;
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
    for (int i = 0; i < asked; i++) {
      seeds.add(address(i));
    }
    node.is =
        new Membership(
            seed * 31 + member * 7919L + node.boot,
            now(),
            new MemberRecord(
                name(member),
                address(member),
                zone(member),
                node.boot,
                0,
                MemberState.ALIVE,
                ""),
            new MembershipSettings(seeds, intervalUs, timeoutUs, 4096, 1200, 20_000));
    node.waiting.clear();
    node.pausedUntilUs = 0;
    node.diedUs = -1;
    node.wakeUs = Long.MAX_VALUE;
    turn(node);
  }

  public void kill(int member) {
    nodes.get(member).is = null;
    nodes.get(member).diedUs = now();
  }

  public boolean runs(int member) {
    return nodes.get(member).is != null;
  }

  /** Its process stands still for so long: no timer runs, what comes waits. */
  public void pause(int member, long forUs) {
    Node node = nodes.get(member);
    node.pausedUntilUs = now() + forUs;
    Membership of = node.is;
    time.at(
        node.pausedUntilUs,
        () -> {
          if (node.is == of && of != null) {
            List<Coming> came = List.copyOf(node.waiting);
            node.waiting.clear();
            came.forEach(c -> hear(node, c));
            turn(node);
          }
        });
  }

  public Membership of(int member) {
    return nodes.get(member).is;
  }

  /** What one holds of another; null where it knows of none. */
  public MemberState holds(int observer, int subject) {
    for (Member m : nodes.get(observer).is.members()) {
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
    while (time.step(until)) {
      continue; // each event does its own
    }
  }

  private void turn(Node node) {
    if (node.is == null || now() < node.pausedUntilUs) {
      return;
    }
    if (now() >= node.is.nextDueUs()) {
      node.is.onTime(now());
    }
    for (OutboundPacket sent; (sent = node.is.next()) != null; ) {
      send(node.number, member(sent.receiver()), codec.encode(sent.packet()));
    }
    long due = Math.max(now() + 1, node.is.nextDueUs());
    if (due < node.wakeUs || node.wakeUs <= now()) {
      node.wakeUs = due;
      Membership of = node.is;
      time.at(
          due,
          () -> {
            if (node.is == of) {
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
    long us = (long) (wayUs * chance.between(0.7, 1.3) * (from % zones == to % zones ? 1 : 2));
    int copies = 1;
    for (Ill ill : ills) {
      if (ill.from.test(from) && ill.to.test(to)) {
        if (chance.happens(ill.loss)) {
          return;
        }
        us += chance.between(0L, ill.jitterUs);
        copies += chance.happens(ill.twice) ? 1 : 0;
      }
    }
    for (int i = 0; i < copies && to < nodes.size(); i++) {
      time.at(now() + us + i * 100, () -> arrive(nodes.get(to), new Coming(address(from), what)));
    }
  }

  private void arrive(Node node, Coming coming) {
    if (node.is == null) {
      return;
    }
    if (now() < node.pausedUntilUs) {
      if (node.waiting.size() < SOCKET) {
        node.waiting.add(coming);
      }
      return;
    }
    hear(node, coming);
    turn(node);
  }

  private void hear(Node node, Coming coming) {
    Packet packet = codec.decode(coming.bytes, 0, coming.bytes.length).orElseThrow();
    node.is.onPacket(now(), packet);
  }
}
