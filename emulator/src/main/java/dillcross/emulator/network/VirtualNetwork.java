package dillcross.emulator.network;

import dillcross.emulator.random.RandomStream;
import dillcross.emulator.time.VirtualClock;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * The network between the hosts: delays by zone, zones cut off from each other, machines that say
 * nothing, what is sent in one piece coming in several. What is cut waits, as a system sends again
 * until it is answered.
 */
public final class VirtualNetwork {
  /** Who accepts connections at an address. */
  public interface Entry {
    VirtualMachine host();

    /** The other side's connect has come; the end is up when this returns. */
    void connected(SocketEndpoint end);
  }

  private final VirtualClock time;
  private final long seed;
  private final long nearUs; // within a zone, one way
  private final long farUs; // between zones
  private final long jitterUs;
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final Map<String, Integer> cuts =
      new LinkedHashMap<>(); // by pair of zones, how many faults hold it
  private final Map<String, Long> lags = new LinkedHashMap<>(); // by pair of zones
  private final Map<String, List<Runnable>> held =
      new LinkedHashMap<>(); // by pair of zones, what waits for its cut to end
  private final CRC32C all = new CRC32C();
  private final byte[] mark = new byte[20];
  private int pieceBytes = Integer.MAX_VALUE;
  private final Map<String, Long> lines =
      new LinkedHashMap<>(); // how many, by who connects to whom

  public VirtualNetwork(
      VirtualClock time, RandomStream random, long nearUs, long farUs, long jitterUs) {
    this.time = time;
    seed = random.any();
    this.nearUs = nearUs;
    this.farUs = farUs;
    this.jitterUs = jitterUs;
  }

  /**
   * A sum over every byte that was carried, when and where: two days that differ anywhere differ
   * here.
   */
  public long sum() {
    return all.getValue();
  }

  /** A machine that is not there: what is sent to it nobody answers. */
  public static VirtualMachine nowhere() {
    VirtualMachine nowhere = new VirtualMachine("nowhere", "nowhere");
    nowhere.isSilent = true;
    return nowhere;
  }

  // ---- Addresses

  public boolean listen(String address, Entry entry) {
    return entries.putIfAbsent(address, entry) == null;
  }

  public void unlisten(String address) {
    entries.remove(address);
  }

  // ---- Faults

  /** Zones that hear nothing of each other, once more or once less. */
  public void cut(String a, String b, boolean now) {
    String pair = pair(a, b);
    int count = cuts.merge(pair, now ? 1 : -1, Integer::sum);
    if (count == 0) {
      cuts.remove(pair);
      List<Runnable> waiting = held.remove(pair);
      if (waiting != null) {
        waiting.forEach(Runnable::run); // each takes its way anew
      }
    }
  }

  /** More delay between two zones, or less. */
  public void lag(String a, String b, long us) {
    lags.merge(pair(a, b), us, Long::sum);
  }

  /** The most that comes in one piece. */
  public void pieces(int bytes) {
    pieceBytes = bytes;
  }

  /** The process on a host ends: its connections are reset. */
  public void kill(VirtualMachine host) {
    for (SocketEndpoint end : List.copyOf(host.ends)) {
      end.breakOff();
    }
  }

  /**
   * The process on a host ends, and its system closes its connections: what was sent still comes.
   */
  public void end(VirtualMachine host) {
    for (SocketEndpoint end : List.copyOf(host.ends)) {
      end.close();
    }
  }

  /** The machine says nothing from now on. */
  public void vanish(VirtualMachine host) {
    host.isSilent = true;
  }

  /** It is back, with a new process that knows nothing of what was open. */
  public void back(VirtualMachine host) {
    host.ends.forEach(SocketEndpoint::vanish);
    host.ends.clear();
    host.isSilent = false;
  }

  private static String pair(String a, String b) {
    return a.compareTo(b) <= 0 ? a + "|" + b : b + "|" + a;
  }

  // ---- Carrying

  /**
   * The spread of a delay is drawn from where in which line it is: a day without one of its
   * troubles stays like itself.
   */
  private long delayUs(SocketEndpoint end, VirtualMachine from, VirtualMachine to) {
    long base = from.beside(to) ? 15 : from.zone.equals(to.zone) ? nearUs : farUs;
    Long lag = lags.isEmpty() ? null : lags.get(pair(from.zone, to.zone));
    return base
        + (lag == null ? 0 : lag)
        + (from.beside(to) || jitterUs == 0
            ? 0
            : Math.floorMod(
                mix(seed ^ end.line * 2 + (end.requests ? 1 : 0) ^ end.events++ << 20),
                jitterUs + 1));
  }

  private static long mix(long x) {
    long a = (x ^ x >>> 32) * 0xD6E8FEB86659FD93L;
    long b = (a ^ a >>> 32) * 0xD6E8FEB86659FD93L;
    return b ^ b >>> 32;
  }

  void soon(Runnable what) {
    time.after(50, what);
  }

  /** Has something done when word of it gets from one host to the other. */
  void after(SocketEndpoint end, VirtualMachine from, VirtualMachine to, Runnable what) {
    if (from.isSilent || to.isSilent) {
      return; // nobody ever hears of it
    }
    if (!from.beside(to) && !cuts.isEmpty() && cuts.containsKey(pair(from.zone, to.zone))) {
      held.computeIfAbsent(pair(from.zone, to.zone), p -> new ArrayList<>())
          .add(() -> after(end, from, to, what));
      return;
    }
    time.after(
        delayUs(end, from, to),
        () -> {
          if (!to.isSilent) {
            what.run();
          }
        });
  }

  /**
   * The same in the order in which an end sends; {@code data} is let go with a reset of that end
   * while it waits for a cut.
   */
  private void inOrder(SocketEndpoint from, boolean data, Runnable what) {
    SocketEndpoint to = from.peer;
    if (from.host.isSilent || to.host.isSilent) {
      return;
    }
    if (!from.host.beside(to.host)
        && !cuts.isEmpty()
        && cuts.containsKey(pair(from.host.zone, to.host.zone))) {
      held.computeIfAbsent(pair(from.host.zone, to.host.zone), p -> new ArrayList<>())
          .add(
              () -> {
                if (!data || !from.sendsNoMore()) {
                  inOrder(from, data, what);
                }
              });
      return;
    }
    from.lastArrivalUs =
        Math.max(from.lastArrivalUs, time.now() + delayUs(from, from.host, to.host));
    time.at(
        from.lastArrivalUs,
        () -> {
          if (!to.host.isSilent) {
            what.run();
          }
        });
  }

  void carry(SocketEndpoint from, byte[] bytes, Runnable read) {
    long sentUs = time.now();
    SocketEndpoint to = from.peer;
    for (int at = 0; at < bytes.length; at += pieceBytes) {
      int end = (int) Math.min(bytes.length, (long) at + pieceBytes);
      byte[] piece =
          at == 0 && end == bytes.length ? bytes : java.util.Arrays.copyOfRange(bytes, at, end);
      inOrder(
          from,
          true,
          () -> {
            count(from, piece);
            to.arrive(piece, sentUs, end == bytes.length ? read : null);
          });
      if (pieceBytes == Integer.MAX_VALUE) {
        break;
      }
    }
  }

  void carryEnd(SocketEndpoint from) {
    inOrder(from, false, from.peer::arriveEnd);
  }

  void carryReset(SocketEndpoint from) {
    inOrder(from, false, from.peer::arriveReset);
  }

  private void count(SocketEndpoint from, byte[] bytes) {
    long now = time.now();
    for (int i = 0; i < 8; i++) {
      mark[i] = (byte) (now >>> (8 * i));
      mark[8 + i] = (byte) (from.line >>> (8 * i));
    }
    mark[16] = (byte) (from.requests ? 1 : 0);
    all.update(mark, 0, 17);
    all.update(bytes, 0, bytes.length);
  }

  // ---- Connecting

  /**
   * Begins to connect; the owner hears what becomes of it, or nothing where the other side says
   * nothing.
   */
  public SocketEndpoint connect(VirtualMachine from, String address, SocketEndpoint.Owner owner) {
    String way = from.name + ">" + address;
    long line = mix(way.hashCode() * 31L + lines.merge(way, 1L, Long::sum));
    SocketEndpoint near = new SocketEndpoint(this, from, line, true);
    near.owner = owner;
    from.ends.add(near);
    Entry entry = entries.get(address);
    VirtualMachine to = entry == null ? null : entry.host();
    if (to == null) { // the machine answers for the process that is not there
      time.after(from.zone.isEmpty() ? nearUs : 2 * nearUs, () -> refuse(near));
      near.peer = new SocketEndpoint(this, from, near.line, false);
      return near;
    }
    SocketEndpoint far = new SocketEndpoint(this, to, near.line, false);
    near.peer = far;
    far.peer = near;
    inOrder(
        near,
        true,
        () -> { // a close that follows must not overtake it
          Entry now = entries.get(address);
          if (now == null || now.host() != to) {
            after(near, to, from, () -> refuse(near));
            return;
          }
          to.ends.add(far);
          far.isUpNow();
          after(
              near,
              to,
              from,
              () -> {
                if (near.isOpen()) {
                  near.isUpNow();
                  near.owner.up(near);
                }
              });
          now.connected(far);
        });
    return near;
  }

  private static void refuse(SocketEndpoint near) {
    if (near.isOpen() && !near.isUp()) {
      near.owner.failed(near);
      near.vanish();
      near.host.ends.remove(near);
    }
  }
}
