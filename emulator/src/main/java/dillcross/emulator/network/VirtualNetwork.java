package dillcross.emulator.network;

import dillcross.emulator.random.RandomStream;
import dillcross.emulator.time.VirtualClock;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The emulated network between machines: delays by zone, cuts between zones, machines that are off,
 * and data that arrives in several pieces. Data sent into a cut arrives after its end, as TCP
 * retransmits it. Owned by the thread of the simulation run.
 */
public final class VirtualNetwork {
  /** Accepts connections at an address. */
  public interface Acceptor {
    /** The machine that the address belongs to. */
    VirtualMachine host();

    /** A connection has arrived, which is up; sets its owner. */
    void onConnection(SocketEndpoint end);
  }

  private static final long SAME_MACHINE_DELAY_US = 15;

  /** Time until the next select, at which a Java channel that was closed is closed for good. */
  private static final long NEXT_SELECT_US = 50;

  private static final int TRANSMISSION_NUMBER_SHIFT = 20;
  private static final long HASH_PRIME = 31;
  private static final long MIX_MULTIPLIER = 0xD6E8FEB86659FD93L;
  private static final int MIX_SHIFT = 32;

  private final VirtualClock clock;
  private final long seed;
  private final long sameZoneDelayUs;
  private final long otherZoneDelayUs;
  private final long jitterUs;
  private final Map<String, Acceptor> acceptors = new LinkedHashMap<>(); // by address
  private final ZoneLinks links = new ZoneLinks();
  private final TrafficChecksum checksum = new TrafficChecksum();
  private final Map<String, Long> connectionCounts = new LinkedHashMap<>(); // by route
  private int maxPieceBytes = Integer.MAX_VALUE;

  /**
   * A network with the given one-way delays in µs, each with up to {@code jitterUs} more. Draws one
   * value from {@code random}, at construction.
   */
  public VirtualNetwork(
      VirtualClock clock,
      RandomStream random,
      long sameZoneDelayUs,
      long otherZoneDelayUs,
      long jitterUs) {
    this.clock = clock;
    seed = random.any();
    this.sameZoneDelayUs = sameZoneDelayUs;
    this.otherZoneDelayUs = otherZoneDelayUs;
    this.jitterUs = jitterUs;
  }

  /** Checksum over every byte carried so far, when and where; equal for equal runs. */
  public long checksum() {
    return checksum.value();
  }

  /** A machine that is off: connects to it neither succeed nor fail. */
  public static VirtualMachine nowhere() {
    VirtualMachine nowhere = new VirtualMachine("nowhere", "nowhere");
    nowhere.setSilent(true);
    return nowhere;
  }

  // ---- Addresses

  /** Accepts connections at {@code ip:port}; false if the address is in use. */
  public boolean listen(String address, Acceptor acceptor) {
    return acceptors.putIfAbsent(address, acceptor) == null;
  }

  /** Stops to accept connections at the address. */
  public void unlisten(String address) {
    acceptors.remove(address);
  }

  // ---- Faults

  /** Starts or ends one cut between two zones; cuts may overlap. */
  public void cut(String zone, String otherZone, boolean isStarting) {
    links.cut(zone, otherZone, isStarting);
  }

  /** Adds delay in µs between two zones; a negative value takes it back. */
  public void addLag(String zone, String otherZone, long lagUs) {
    links.addLag(zone, otherZone, lagUs);
  }

  /** Sets the largest piece in bytes in which data arrives. */
  public void setMaxPieceBytes(int maxBytes) {
    maxPieceBytes = maxBytes;
  }

  /** Ends the process on a machine; its connections are reset. */
  public void kill(VirtualMachine host) {
    host.sockets().forEach(SocketEndpoint::reset);
  }

  /** Ends the process on a machine; its connections are closed, and what was sent arrives. */
  public void end(VirtualMachine host) {
    host.sockets().forEach(SocketEndpoint::close);
  }

  /** Turns the machine off. */
  public void vanish(VirtualMachine host) {
    host.setSilent(true);
  }

  /** Turns the machine on, with no knowledge of connections that were open. */
  public void restore(VirtualMachine host) {
    host.discardSockets();
    host.setSilent(false);
  }

  // ---- Transmission

  /**
   * The jitter is a hash of the connection and the transmission's number on it, not a draw, so that
   * leaving out one fault does not change unrelated delays.
   */
  private long delayUs(SocketEndpoint socket, VirtualMachine from, VirtualMachine to) {
    long delayUs = baseDelayUs(from, to) + links.lagUs(from, to);
    if (from.isSameMachine(to) || jitterUs == 0) {
      return delayUs;
    }
    long direction = socket.connectionId() * 2 + (socket.isInitiator() ? 1 : 0);
    long number = socket.nextTransmissionNumber() << TRANSMISSION_NUMBER_SHIFT;
    return delayUs + Math.floorMod(mix(seed ^ direction ^ number), jitterUs + 1);
  }

  private long baseDelayUs(VirtualMachine from, VirtualMachine to) {
    if (from.isSameMachine(to)) {
      return SAME_MACHINE_DELAY_US;
    }
    return from.zone().equals(to.zone()) ? sameZoneDelayUs : otherZoneDelayUs;
  }

  private static long mix(long value) {
    long first = (value ^ value >>> MIX_SHIFT) * MIX_MULTIPLIER;
    long second = (first ^ first >>> MIX_SHIFT) * MIX_MULTIPLIER;
    return second ^ second >>> MIX_SHIFT;
  }

  void afterNextSelect(Runnable action) {
    clock.after(NEXT_SELECT_US, action);
  }

  /** Runs the action when word of it has come from one machine to the other. */
  void after(SocketEndpoint socket, VirtualMachine from, VirtualMachine to, Runnable action) {
    if (from.isSilent() || to.isSilent()) {
      return;
    }
    if (links.isCut(from, to)) {
      links.holdBack(from, to, () -> after(socket, from, to, action));
      return;
    }
    clock.after(delayUs(socket, from, to), () -> runUnlessSilent(to, action));
  }

  /**
   * Runs the action after all earlier transmissions from that side have arrived. Data that a cut
   * holds back is dropped if its side is closed with a reset meanwhile.
   */
  private void transmitInOrder(SocketEndpoint from, boolean isData, Runnable action) {
    VirtualMachine source = from.host();
    VirtualMachine destination = from.peer().host();
    if (source.isSilent() || destination.isSilent()) {
      return;
    }
    if (links.isCut(source, destination)) {
      links.holdBack(source, destination, () -> retransmit(from, isData, action));
      return;
    }
    long arrivalUs = from.arrivalInOrderUs(clock.now() + delayUs(from, source, destination));
    clock.at(arrivalUs, () -> runUnlessSilent(destination, action));
  }

  private void retransmit(SocketEndpoint from, boolean isData, Runnable action) {
    if (!isData || !from.wasClosedWithReset()) {
      transmitInOrder(from, isData, action);
    }
  }

  private static void runUnlessSilent(VirtualMachine destination, Runnable action) {
    if (!destination.isSilent()) {
      action.run();
    }
  }

  /** Carries data to the peer; {@code onRead} runs when the peer has read all of it. */
  void carry(SocketEndpoint from, byte[] bytes, Runnable onRead) {
    if (maxPieceBytes == Integer.MAX_VALUE && bytes.length > 0) {
      carryPiece(from, bytes, onRead);
      return;
    }
    for (int start = 0; start < bytes.length; start += maxPieceBytes) {
      int end = (int) Math.min(bytes.length, (long) start + maxPieceBytes);
      boolean isWhole = start == 0 && end == bytes.length;
      byte[] piece = isWhole ? bytes : Arrays.copyOfRange(bytes, start, end);
      carryPiece(from, piece, end == bytes.length ? onRead : null);
    }
  }

  private void carryPiece(SocketEndpoint from, byte[] piece, Runnable onRead) {
    long sentUs = clock.now();
    transmitInOrder(
        from,
        true,
        () -> {
          checksum.add(clock.now(), from, piece);
          from.peer().arrive(piece, sentUs, onRead);
        });
  }

  void carryEnd(SocketEndpoint from) {
    transmitInOrder(from, false, from.peer()::arriveEnd);
  }

  void carryReset(SocketEndpoint from) {
    transmitInOrder(from, false, from.peer()::arriveReset);
  }

  // ---- Connecting

  /**
   * Connects to {@code ip:port}. The owner receives the result, or nothing if the machine at the
   * address is off.
   */
  public SocketEndpoint connect(VirtualMachine from, String address, SocketEndpoint.Owner owner) {
    SocketEndpoint near = new SocketEndpoint(this, from, connectionId(from, address), true);
    near.setOwner(owner);
    from.add(near);
    Acceptor acceptor = acceptors.get(address);
    VirtualMachine to = acceptor == null ? null : acceptor.host();
    SocketEndpoint far =
        new SocketEndpoint(this, to == null ? from : to, near.connectionId(), false);
    near.setPeer(far);
    if (to == null) {
      // The machine is on and refuses for the process that is not there.
      clock.after(
          from.zone().isEmpty() ? sameZoneDelayUs : 2 * sameZoneDelayUs, () -> refuse(near));
      return near;
    }
    far.setPeer(near);
    transmitInOrder(near, true, () -> arriveConnect(near, address));
    return near;
  }

  private long connectionId(VirtualMachine from, String address) {
    String route = from.name() + ">" + address;
    return mix(route.hashCode() * HASH_PRIME + connectionCounts.merge(route, 1L, Long::sum));
  }

  private void arriveConnect(SocketEndpoint near, String address) {
    SocketEndpoint far = near.peer();
    Acceptor acceptor = acceptors.get(address);
    if (acceptor == null || acceptor.host() != far.host()) {
      after(near, far.host(), near.host(), () -> refuse(near));
      return;
    }
    far.host().add(far);
    far.markUp();
    after(near, far.host(), near.host(), () -> arriveAccept(near));
    acceptor.onConnection(far);
  }

  private static void arriveAccept(SocketEndpoint near) {
    if (near.isOpen()) {
      near.markUp();
      near.owner().onConnected(near);
    }
  }

  private static void refuse(SocketEndpoint near) {
    if (near.isOpen() && !near.isUp()) {
      near.owner().onConnectFailed(near);
      near.discard();
      near.host().remove(near);
    }
  }
}
