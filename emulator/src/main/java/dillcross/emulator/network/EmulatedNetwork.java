package dillcross.emulator.network;

import dillcross.emulator.time.TimeUnits;
import dillcross.emulator.time.VirtualClock;
import dillcross.net.transport.Network;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The network interface of one sidecar process on the emulated network, with its event loop. The
 * loop waits, as at a selector, for a socket that is ready or a time that is due, runs one
 * iteration, and waits again. An iteration takes virtual time, in which more may become ready.
 */
public final class EmulatedNetwork implements Network {
  /** More iterations than this within a millisecond mean that the loop spins. */
  private static final int MAX_TURNS_PER_MILLI = 20_000;

  private static final long NOT_SCHEDULED = Long.MAX_VALUE;

  private final VirtualClock clock;
  private final VirtualNetwork network;
  private final VirtualMachine host;
  private final String ip;
  private final long turnUs;
  private final Runnable onTurnEnd;
  private final Set<EmulatedSocket> ready = new LinkedHashSet<>();
  private final Set<EmulatedListeningSocket> listeningSockets = new LinkedHashSet<>();
  private EventLoopTask task;
  private long wakeUpNumber; // of the latest wake-up; earlier ones are void
  private long wakeUpUs = NOT_SCHEDULED;
  private long busyUntilUs;
  private boolean isDead;
  private boolean isSpinning;
  private long turnCount;
  private long turnsInMilli;
  private long milliOfTurns;

  /**
   * The network of a process on that machine.
   *
   * @param ip the address of its listening sockets
   * @param turnUs virtual time that an iteration takes, in µs
   * @param onTurnEnd called after each iteration
   */
  public EmulatedNetwork(
      VirtualClock clock,
      VirtualNetwork network,
      VirtualMachine host,
      String ip,
      long turnUs,
      Runnable onTurnEnd) {
    this.clock = clock;
    this.network = network;
    this.host = host;
    this.ip = ip;
    this.turnUs = turnUs;
    this.onTurnEnd = onTurnEnd;
  }

  /** Whether the event loop iterates without end while time stands still. */
  public boolean spins() {
    return isSpinning;
  }

  /** Number of iterations so far. */
  public long turnsMade() {
    return turnCount;
  }

  /** Suspends the process until the given time in µs. */
  public void stall(long untilUs) {
    busyUntilUs = Math.max(busyUntilUs, untilUs);
  }

  /** Ends the process; its machine closes its connections separately. */
  public void die() {
    isDead = true;
    listeningSockets.forEach(socket -> network.unlisten(socket.address()));
  }

  // ---- Event loop

  @Override
  public void start(EventLoopTask newTask) {
    task = newTask;
    wakeUp();
  }

  @Override
  public void wakeUp() {
    wakeUpAt(clock.now());
  }

  private void wakeUpAt(long requestedUs) {
    long atUs = Math.max(requestedUs, busyUntilUs);
    if (isDead || task == null || atUs >= wakeUpUs) {
      return;
    }
    wakeUpUs = atUs;
    wakeUpNumber++;
    long number = wakeUpNumber;
    clock.at(
        atUs,
        () -> {
          if (number == wakeUpNumber && !isDead) {
            onWakeUp();
          }
        });
  }

  private void onWakeUp() {
    wakeUpUs = NOT_SCHEDULED;
    if (clock.now() < busyUntilUs) {
      wakeUpAt(busyUntilUs); // suspended after the wake-up was scheduled
    } else {
      runTurn();
    }
  }

  private void runTurn() {
    task.beforeEvents();
    EmulatedSocket[] readyNow = ready.toArray(new EmulatedSocket[0]);
    ready.clear();
    for (EmulatedSocket socket : readyNow) {
      socket.dispatch();
    }
    task.afterEvents();
    countTurn();
    onTurnEnd.run();
    if (isDead || isSpinning) {
      return;
    }
    busyUntilUs = Math.max(busyUntilUs, clock.now() + turnUs);
    if (!ready.isEmpty()) {
      wakeUp();
    }
    wakeUpAt(clock.now() + selectTimeoutUs(task.maxWaitUs()));
  }

  private void countTurn() {
    turnCount++;
    long milli = clock.now() / TimeUnits.MICROS_PER_MILLI;
    turnsInMilli = milli == milliOfTurns ? turnsInMilli + 1 : 0;
    milliOfTurns = milli;
    isSpinning |= turnsInMilli > MAX_TURNS_PER_MILLI;
  }

  /** A selector waits for whole milliseconds, rounded up here. */
  private static long selectTimeoutUs(long maxWaitUs) {
    if (maxWaitUs <= 0) {
      return 0;
    }
    long millis = (maxWaitUs + TimeUnits.MICROS_PER_MILLI - 1) / TimeUnits.MICROS_PER_MILLI;
    return millis * TimeUnits.MICROS_PER_MILLI;
  }

  /** Has the event loop dispatch the socket in its next iteration, and wakes it up. */
  void markReady(EmulatedSocket socket) {
    ready.add(socket);
    wakeUp();
  }

  /** Has the next iteration dispatch the socket again, as a level-triggered selector does. */
  void keepReady(EmulatedSocket socket) {
    ready.add(socket);
  }

  // ---- Sockets

  VirtualMachine host() {
    return host;
  }

  SocketEndpoint connect(String address, SocketEndpoint.Owner owner) {
    return network.connect(host, address, owner);
  }

  void stopListening(String address) {
    network.unlisten(address);
  }

  @Override
  public boolean hasInheritedSocket() {
    return false;
  }

  /**
   * Always fails: simulation runs exchange no datagrams. {@code dillcross.emulator.membership}
   * carries them between members.
   */
  @Override
  public DatagramTransport bindDatagrams(
      InetSocketAddress address, int maxBytes, DatagramHandler handler) throws IOException {
    throw new IOException("no datagrams on the emulated network");
  }

  @Override
  public ListeningSocket bindInherited(ConnectionAcceptor acceptor) throws IOException {
    throw new IOException("no inherited socket on the emulated network");
  }

  @Override
  public ListeningSocket bind(InetSocketAddress address, ConnectionAcceptor acceptor)
      throws IOException {
    EmulatedListeningSocket socket =
        new EmulatedListeningSocket(this, ip + ":" + address.getPort(), acceptor);
    if (!network.listen(socket.address(), socket)) {
      throw new IOException("Address already in use: " + socket.address());
    }
    listeningSockets.add(socket);
    return socket;
  }

  @Override
  public void connect(InetSocketAddress address, ConnectCallback callback) {
    String target = address.getAddress().getHostAddress() + ":" + address.getPort();
    EmulatedSocket.connecting(this, target, callback);
  }
}
