package dillcross.emulator.wire;

import dillcross.emulator.chance.Chance;
import dillcross.emulator.time.Timeline;
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
public final class Fabric {
  /** Who accepts connections at an address. */
  public interface Entry {
    Host host();

    /** The other side's connect has come; the end is up when this returns. */
    void connected(End end);
  }

  private final Timeline time;
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

  public Fabric(Timeline time, Chance chance, long nearUs, long farUs, long jitterUs) {
    this.time = time;
    seed = chance.any();
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
  public static Host nowhere() {
    Host nowhere = new Host("nowhere", "nowhere");
    nowhere.gone = true;
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
  public void kill(Host host) {
    for (End end : List.copyOf(host.ends)) {
      end.breakOff();
    }
  }

  /**
   * The process on a host ends, and its system closes its connections: what was sent still comes.
   */
  public void end(Host host) {
    for (End end : List.copyOf(host.ends)) {
      end.close();
    }
  }

  /** The machine says nothing from now on. */
  public void vanish(Host host) {
    host.gone = true;
  }

  /** It is back, with a new process that knows nothing of what was open. */
  public void back(Host host) {
    host.ends.forEach(End::vanish);
    host.ends.clear();
    host.gone = false;
  }

  private static String pair(String a, String b) {
    return a.compareTo(b) <= 0 ? a + "|" + b : b + "|" + a;
  }

  // ---- Carrying

  /**
   * The spread of a delay is drawn from where in which line it is: a day without one of its
   * troubles stays like itself.
   */
  private long delayUs(End end, Host from, Host to) {
    long base = from.beside(to) ? 15 : from.zone.equals(to.zone) ? nearUs : farUs;
    Long lag = lags.isEmpty() ? null : lags.get(pair(from.zone, to.zone));
    return base
        + (lag == null ? 0 : lag)
        + (from.beside(to) || jitterUs == 0
            ? 0
            : Math.floorMod(
                mix(seed ^ end.line * 2 + (end.asks ? 1 : 0) ^ end.events++ << 20), jitterUs + 1));
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
  void after(End end, Host from, Host to, Runnable what) {
    if (from.gone || to.gone) {
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
          if (!to.gone) {
            what.run();
          }
        });
  }

  /**
   * The same in the order in which an end sends; {@code data} is let go with a reset of that end
   * while it waits for a cut.
   */
  private void inOrder(End from, boolean data, Runnable what) {
    End to = from.peer;
    if (from.host.gone || to.host.gone) {
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
          if (!to.host.gone) {
            what.run();
          }
        });
  }

  void carry(End from, byte[] bytes, Runnable read) {
    long sentUs = time.now();
    End to = from.peer;
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

  void carryEnd(End from) {
    inOrder(from, false, from.peer::arriveEnd);
  }

  void carryReset(End from) {
    inOrder(from, false, from.peer::arriveReset);
  }

  private void count(End from, byte[] bytes) {
    long now = time.now();
    for (int i = 0; i < 8; i++) {
      mark[i] = (byte) (now >>> 8 * i);
      mark[8 + i] = (byte) (from.line >>> 8 * i);
    }
    mark[16] = (byte) (from.asks ? 1 : 0);
    all.update(mark, 0, 17);
    all.update(bytes, 0, bytes.length);
  }

  // ---- Connecting

  /**
   * Begins to connect; the owner hears what becomes of it, or nothing where the other side says
   * nothing.
   */
  public End connect(Host from, String address, End.Owner owner) {
    String way = from.name + ">" + address;
    long line = mix(way.hashCode() * 31L + lines.merge(way, 1L, Long::sum));
    End near = new End(this, from, line, true);
    near.owner = owner;
    from.ends.add(near);
    Entry entry = entries.get(address);
    Host to = entry == null ? null : entry.host();
    if (to == null) { // the machine answers for the process that is not there
      time.after(from.zone.isEmpty() ? nearUs : 2 * nearUs, () -> refuse(near));
      near.peer = new End(this, from, near.line, false);
      return near;
    }
    End far = new End(this, to, near.line, false);
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

  private static void refuse(End near) {
    if (near.isOpen() && !near.isUp()) {
      near.owner.failed(near);
      near.vanish();
      near.host.ends.remove(near);
    }
  }
}
