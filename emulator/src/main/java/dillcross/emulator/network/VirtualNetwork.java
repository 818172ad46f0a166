package dillcross.emulator.network;

import dillcross.emulator.random.RandomStream;
import dillcross.emulator.time.VirtualClock;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The emulated network between the machines of one simulation run. It models delays that depend on
 * the zones, partitions between zones, machines that are off, and data that arrives in small
 * segments. Data sent during a partition arrives after the partition has ended, as TCP would
 * retransmit it. Used only by the thread of the simulation run.
 */
public final class VirtualNetwork {
  /** Accepts connections at an address. */
  public interface Acceptor {
    /** The machine that the address belongs to. */
    VirtualMachine host();

    /**
     * Called for each established connection.
     *
     * @param end the accepting side, whose owner this method has to set
     */
    void onConnection(SocketEndpoint end);
  }

  private static final long SAME_MACHINE_DELAY_US = 15;

  /**
   * Virtual time in µs from closing a Java channel to closing its socket: the next select of the
   * event loop deregisters the channel, and only then is the socket closed.
   */
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
  private final Map<String, Acceptor> acceptors = new LinkedHashMap<>(); // by "ip:port"
  private final ZoneLinks links = new ZoneLinks();
  private final TrafficChecksum checksum = new TrafficChecksum();

  /** Number of connections opened so far, by the name of the initiating machine and the address. */
  private final Map<String, Long> connectionCounts = new LinkedHashMap<>();

  private int maxSegmentBytes = Integer.MAX_VALUE;

  /**
   * Creates a network with the given one-way delays in µs. Each transmission between different
   * machines takes up to {@code jitterUs} longer. The constructor draws one value from {@code
   * random}, which determines the jitter; nothing is drawn later.
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

  /**
   * Checksum over all bytes that have arrived so far, each with its time, connection and direction.
   * Runs with the same traffic have the same checksum.
   */
  public long checksum() {
    return checksum.value();
  }

  /** Creates a machine that is off: attempts to connect to it neither succeed nor fail. */
  public static VirtualMachine unreachableMachine() {
    VirtualMachine machine = new VirtualMachine("nowhere", "nowhere");
    machine.setOff(true);
    return machine;
  }

  // ---- Addresses

  /**
   * Starts to accept connections at the address, given as {@code ip:port}. Returns false and
   * changes nothing if the address is in use.
   */
  public boolean listen(String address, Acceptor acceptor) {
    return acceptors.putIfAbsent(address, acceptor) == null;
  }

  /** Stops accepting connections at the address; no effect if nothing listens there. */
  public void unlisten(String address) {
    acceptors.remove(address);
  }

  // ---- Faults

  /**
   * Starts or ends one partition between two zones. Partitions may overlap; the zones can reach
   * each other again after the last one has ended.
   */
  public void partition(String zone, String otherZone, boolean isStarting) {
    links.partition(zone, otherZone, isStarting);
  }

  /**
   * Adds a one-way delay in µs between two zones, in both directions. A negative value removes a
   * delay that was added before.
   */
  public void addLag(String zone, String otherZone, long lagUs) {
    links.addLag(zone, otherZone, lagUs);
  }

  /**
   * Sets the maximum size in bytes of the segments in which data arrives; {@link Integer#MAX_VALUE}
   * for no limit.
   */
  public void setMaxSegmentBytes(int maxBytes) {
    maxSegmentBytes = maxBytes;
  }

  /** Resets all connections of the machine's process, as when it is killed. */
  public void resetConnections(VirtualMachine host) {
    host.sockets().forEach(SocketEndpoint::reset);
  }

  /** Closes all connections of the machine's process, as when it exits; sent data still arrives. */
  public void closeConnections(VirtualMachine host) {
    host.sockets().forEach(SocketEndpoint::close);
  }

  /** Turns the machine off: it sends and receives nothing, and its peers are not notified. */
  public void turnOff(VirtualMachine host) {
    host.setOff(true);
  }

  /** Turns the machine on again. Its earlier connections are lost without notice to their peers. */
  public void turnOn(VirtualMachine host) {
    host.discardSockets();
    host.setOff(false);
  }

  // ---- Transmission

  /**
   * Delay in µs of the next transmission on the socket. The jitter is a hash of the connection, the
   * direction and the number of the transmission. It is not a random draw, so that removing a fault
   * from a run does not change unrelated delays.
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

  /**
   * Runs the action when the socket of a Java channel that is closed now would be closed, which is
   * at the next select of the event loop.
   */
  void afterNextSelect(Runnable action) {
    clock.after(NEXT_SELECT_US, action);
  }

  /**
   * Runs the action after the one-way delay between two machines, regardless of the order of
   * earlier transmissions on the socket. A partition postpones the action. The action does not run
   * if either machine is off now, or the receiving machine is off when the delay has passed.
   */
  void transmit(SocketEndpoint socket, VirtualMachine from, VirtualMachine to, Runnable action) {
    if (from.isOff() || to.isOff()) {
      return;
    }
    if (links.isPartitioned(from, to)) {
      links.holdBack(from, to, () -> transmit(socket, from, to, action));
      return;
    }
    clock.after(delayUs(socket, from, to), () -> runUnlessOff(to, action));
  }

  /**
   * Like {@link #transmit}, but runs the action after all earlier transmissions from the same side
   * have arrived. Data held back by a partition is dropped if its sender closes the connection with
   * a reset before the partition ends.
   */
  private void transmitInOrder(SocketEndpoint from, boolean isData, Runnable action) {
    VirtualMachine source = from.host();
    VirtualMachine destination = from.peer().host();
    if (source.isOff() || destination.isOff()) {
      return;
    }
    if (links.isPartitioned(source, destination)) {
      links.holdBack(source, destination, () -> retransmit(from, isData, action));
      return;
    }
    long arrivalUs = from.arrivalInOrderUs(clock.now() + delayUs(from, source, destination));
    clock.at(arrivalUs, () -> runUnlessOff(destination, action));
  }

  private void retransmit(SocketEndpoint from, boolean isData, Runnable action) {
    if (!isData || !from.wasClosedWithReset()) {
      transmitInOrder(from, isData, action);
    }
  }

  private static void runUnlessOff(VirtualMachine destination, Runnable action) {
    if (!destination.isOff()) {
      action.run();
    }
  }

  /**
   * Transmits data to the peer of {@code from}.
   *
   * @param onRead runs when the peer has read the last byte; null if nothing is to run
   */
  void transmitData(SocketEndpoint from, byte[] bytes, Runnable onRead) {
    if (maxSegmentBytes == Integer.MAX_VALUE && bytes.length > 0) {
      transmitSegment(from, bytes, onRead);
      return;
    }
    for (int start = 0; start < bytes.length; start += maxSegmentBytes) {
      int end = (int) Math.min(bytes.length, (long) start + maxSegmentBytes);
      boolean isWhole = start == 0 && end == bytes.length;
      byte[] segment = isWhole ? bytes : Arrays.copyOfRange(bytes, start, end);
      transmitSegment(from, segment, end == bytes.length ? onRead : null);
    }
  }

  private void transmitSegment(SocketEndpoint from, byte[] segment, Runnable onRead) {
    long sentUs = clock.now();
    transmitInOrder(
        from,
        true,
        () -> {
          checksum.add(clock.now(), from, segment);
          from.peer().receive(segment, sentUs, onRead);
        });
  }

  /** Transmits the end of output, after which the peer reads no more data. */
  void transmitEnd(SocketEndpoint from) {
    transmitInOrder(from, false, from.peer()::receiveEnd);
  }

  /** Transmits a reset, which discards data that the peer has not read. */
  void transmitReset(SocketEndpoint from) {
    transmitInOrder(from, false, from.peer()::receiveReset);
  }

  // ---- Connecting

  /**
   * Starts to connect to the address, given as {@code ip:port}, and returns the initiating side.
   * The owner is notified when the connection is established or refused; neither happens if the
   * listener at the address belongs to a machine that is off.
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
      // No process listens at the address: its machine refuses the connection.
      clock.after(
          from.zone().isEmpty() ? sameZoneDelayUs : 2 * sameZoneDelayUs, () -> refuse(near));
      return near;
    }
    far.setPeer(near);
    transmitInOrder(near, true, () -> receiveConnect(near, address));
    return near;
  }

  private long connectionId(VirtualMachine from, String address) {
    String route = from.name() + ">" + address;
    return mix(route.hashCode() * HASH_PRIME + connectionCounts.merge(route, 1L, Long::sum));
  }

  private void receiveConnect(SocketEndpoint near, String address) {
    SocketEndpoint far = near.peer();
    Acceptor acceptor = acceptors.get(address);
    if (acceptor == null || acceptor.host() != far.host()) {
      transmit(near, far.host(), near.host(), () -> refuse(near));
      return;
    }
    far.host().add(far);
    far.markEstablished();
    transmit(near, far.host(), near.host(), () -> receiveAccept(near));
    acceptor.onConnection(far);
  }

  private static void receiveAccept(SocketEndpoint near) {
    if (near.isOpen()) {
      near.markEstablished();
      near.owner().onConnected(near);
    }
  }

  private static void refuse(SocketEndpoint near) {
    if (near.isOpen() && !near.isEstablished()) {
      near.owner().onConnectFailed(near);
      near.discard();
      near.host().remove(near);
    }
  }
}
