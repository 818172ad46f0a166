package dillcross.emulator.network;

import dillcross.emulator.time.TimeUnits;
import dillcross.emulator.time.VirtualClock;
import dillcross.net.transport.Network;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The {@link Network} of one sidecar process on the emulated network, with the event loop of the
 * process. As with a selector, the loop waits until a socket is ready or a timeout has passed, runs
 * one iteration, and waits again. An iteration takes virtual time, during which further sockets may
 * become ready.
 */
public final class EmulatedNetwork implements Network {
  /**
   * More iterations than this within a millisecond of virtual time mean that the event loop spins:
   * it iterates again and again without waiting.
   */
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
  private long wakeUpNumber; // number of the latest scheduled wake-up; earlier ones do nothing
  private long wakeUpUs = NOT_SCHEDULED; // virtual time of the scheduled wake-up
  private long busyUntilUs; // end of the latest iteration or suspension
  private boolean isStopped;
  private boolean isSpinning;
  private long iterationCount;
  private long iterationsInMilli;
  private long milliOfIterations; // the millisecond that iterationsInMilli counts in

  /**
   * Creates the network of a process on the machine.
   *
   * @param ip IP address of the listening sockets of the process
   * @param iterationUs virtual time in µs that an iteration takes
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

  /**
   * Whether the event loop has exceeded {@code MAX_ITERATIONS_PER_MILLI} iterations within one
   * millisecond of virtual time.
   */
  public boolean isSpinning() {
    return isSpinning;
  }

  /** Number of event loop iterations so far. */
  public long iterationCount() {
    return iterationCount;
  }

  /** Suspends the process until the given time in µs. */
  public void suspendUntil(long untilUs) {
    busyUntilUs = Math.max(busyUntilUs, untilUs);
  }

  /**
   * Stops the event loop and closes the listening sockets. Connections stay open until the caller
   * closes or resets them through the {@link VirtualNetwork}.
   */
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
      wakeUpAt(busyUntilUs); // the process was suspended after the scheduling
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

  /**
   * Rounds a wait in µs up to whole milliseconds, the unit of a Java selector's timeout. The result
   * is in µs; 0 for a negative wait.
   */
  private static long selectTimeoutUs(long maxWaitUs) {
    if (maxWaitUs <= 0) {
      return 0;
    }
    long millis = (maxWaitUs + TimeUnits.MICROS_PER_MILLI - 1) / TimeUnits.MICROS_PER_MILLI;
    return millis * TimeUnits.MICROS_PER_MILLI;
  }

  /** Marks the socket for dispatch in the next iteration and wakes up the event loop. */
  void markReady(EmulatedSocket socket) {
    ready.add(socket);
    wakeUp();
  }

  /**
   * Marks a socket that still has events to handle for dispatch in the next iteration, as a
   * level-triggered selector does.
   */
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
   * Always throws an exception, because simulation runs exchange no datagrams. The datagrams of the
   * membership protocol are emulated by {@code dillcross.emulator.membership}.
   */
  @Override
  public DatagramTransport bindDatagrams(
      InetSocketAddress address, int maxBytes, DatagramHandler handler) throws IOException {
    throw new IOException("the emulated network does not support datagrams");
  }

  @Override
  public ListeningSocket bindInherited(ConnectionAcceptor acceptor) throws IOException {
    throw new IOException("the emulated network does not support inherited sockets");
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
