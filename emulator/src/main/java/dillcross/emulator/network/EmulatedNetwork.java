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
  private static final int MAX_ITERATIONS_PER_MILLI = 20_000;

  private static final long NOT_SCHEDULED = Long.MAX_VALUE;

  private final VirtualClock clock;
  private final VirtualNetwork network;
  private final VirtualMachine host;
  private final String ip;
  private final long iterationUs;
  private final Runnable onIterationEnd;
  private final Set<EmulatedSocket> ready = new LinkedHashSet<>();
  private final Set<EmulatedListeningSocket> listeningSockets = new LinkedHashSet<>();
  private EventLoopTask task;
  private long wakeUpNumber; // of the latest wake-up; earlier ones are void
  private long wakeUpUs = NOT_SCHEDULED;
  private long busyUntilUs;
  private boolean isStopped;
  private boolean isSpinning;
  private long iterationCount;
  private long iterationsInMilli;
  private long milliOfIterations;

  /**
   * The network of a process on that machine.
   *
   * @param ip the address of its listening sockets
   * @param iterationUs virtual time that an iteration takes, in µs
   * @param onIterationEnd called after each iteration
   */
  public EmulatedNetwork(
      VirtualClock clock,
      VirtualNetwork network,
      VirtualMachine host,
      String ip,
      long iterationUs,
      Runnable onIterationEnd) {
    this.clock = clock;
    this.network = network;
    this.host = host;
    this.ip = ip;
    this.iterationUs = iterationUs;
    this.onIterationEnd = onIterationEnd;
  }

  /** Whether the event loop iterates without end while time stands still. */
  public boolean isSpinning() {
    return isSpinning;
  }

  /** Number of iterations so far. */
  public long iterationCount() {
    return iterationCount;
  }

  /** Suspends the process until the given time in µs. */
  public void suspendUntil(long untilUs) {
    busyUntilUs = Math.max(busyUntilUs, untilUs);
  }

  /** Ends the process; its machine closes its connections separately. */
  public void stop() {
    isStopped = true;
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
    if (isStopped || task == null || atUs >= wakeUpUs) {
      return;
    }
    wakeUpUs = atUs;
    wakeUpNumber++;
    long number = wakeUpNumber;
    clock.at(
        atUs,
        () -> {
          if (number == wakeUpNumber && !isStopped) {
            onWakeUp();
          }
        });
  }

  private void onWakeUp() {
    wakeUpUs = NOT_SCHEDULED;
    if (clock.now() < busyUntilUs) {
      wakeUpAt(busyUntilUs); // suspended after the wake-up was scheduled
    } else {
      runIteration();
    }
  }

  private void runIteration() {
    task.beforeEvents();
    EmulatedSocket[] readyNow = ready.toArray(new EmulatedSocket[0]);
    ready.clear();
    for (EmulatedSocket socket : readyNow) {
      socket.dispatch();
    }
    task.afterEvents();
    countIteration();
    onIterationEnd.run();
    if (isStopped || isSpinning) {
      return;
    }
    busyUntilUs = Math.max(busyUntilUs, clock.now() + iterationUs);
    if (!ready.isEmpty()) {
      wakeUp();
    }
    wakeUpAt(clock.now() + selectTimeoutUs(task.maxWaitUs()));
  }

  private void countIteration() {
    iterationCount++;
    long milli = clock.now() / TimeUnits.MICROS_PER_MILLI;
    iterationsInMilli = milli == milliOfIterations ? iterationsInMilli + 1 : 0;
    milliOfIterations = milli;
    isSpinning |= iterationsInMilli > MAX_ITERATIONS_PER_MILLI;
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
