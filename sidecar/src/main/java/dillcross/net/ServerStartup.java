package dillcross.net;

import dillcross.net.admin.AdminPaths;
import dillcross.net.admin.Lifecycle;
import dillcross.net.client.ClientConnections;
import dillcross.net.client.ClientListener;
import dillcross.net.transport.Network;
import dillcross.sidecar.RequestCoordinator;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.logging.Logger;

/**
 * The start of a server: its listening socket, its warm-up and its first endpoint list, until it is
 * ready. Belongs to the selector thread; {@link #isWarm}, {@link #awaitWarmUp} and {@link
 * #isSocketInherited} may be called from any thread.
 */
final class ServerStartup {
  private static final Logger LOG = Logger.getLogger(ServerStartup.class.getName());
  // How long readiness is delayed at most to wait for the first endpoint list.
  private static final long FIRST_LIST_TIMEOUT_US = 3_000_000;
  private static final int MICROS_PER_MILLI = 1000;

  private final Network network;
  private final Lifecycle lifecycle;
  private final RequestCoordinator coordinator;
  private final ClientListener listener;
  private final ClientConnections clients;
  private final WarmUpProbe warmUp;
  private final long startedUs;
  private volatile boolean isSocketInherited; // another process may accept from it too
  private String adminAddress; // null if there is no admin endpoint
  private Network.ListeningSocket listeningSocket; // for clients; null until there is one
  private boolean needsFirstList; // before the server is ready, the endpoint list has to arrive

  ServerStartup(
      Network network,
      Lifecycle lifecycle,
      RequestCoordinator coordinator,
      ClientListener listener,
      ClientConnections clients,
      WarmUpProbe warmUp,
      long startedUs) {
    this.network = network;
    this.lifecycle = lifecycle;
    this.coordinator = coordinator;
    this.listener = listener;
    this.clients = clients;
    this.warmUp = warmUp;
    this.startedUs = startedUs;
  }

  /** Delays readiness until the endpoint list has arrived, but not for longer than 3 s. */
  void requireFirstList() {
    needsFirstList = true;
  }

  /** Sets where the admin endpoint listens. */
  void setAdminAddress(String address) {
    adminAddress = address;
  }

  /** Listens for clients at an address, and starts to warm up. */
  void listen(InetSocketAddress address) throws IOException {
    accept(network.bind(address, listener));
    warmUp.start(listeningSocket.address(), AdminPaths.HEALTH);
    network.wakeUp();
  }

  /**
   * Starts to warm up where the listening socket is inherited.
   *
   * @throws IOException if this process has inherited none
   */
  void prepareInherited() throws IOException {
    isSocketInherited = true;
    if (!network.hasInheritedSocket()) {
      throw new IOException(
          "NODE_FD names no listening socket that can be taken over (descriptor 0)");
    }
    // The warm-up requests go to the admin address: at the clients' address they would reach the
    // former process, which still serves there.
    warmUp.start(adminAddress, AdminPaths.READY);
    network.wakeUp();
  }

  /** Accepts clients from the inherited socket. */
  void acceptInherited() throws IOException {
    accept(network.bindInherited(listener));
  }

  private void accept(Network.ListeningSocket socket) {
    listeningSocket = socket;
    clients.setListeningSocket(socket);
  }

  /** Goes on with the warm-up, unless it is done or has not begun. */
  void advance(long nowUs) {
    if (warmUp.isRunning()) {
      warmUp.advance(nowUs, nowUs - startedUs, !isWaitingForFirstList(nowUs));
    }
  }

  private boolean isWaitingForFirstList(long nowUs) {
    return needsFirstList
        && !coordinator.hasReceivedWatchEvent()
        && nowUs - startedUs <= FIRST_LIST_TIMEOUT_US;
  }

  boolean isWarm() {
    return warmUp.isDone();
  }

  void awaitWarmUp() throws InterruptedException {
    warmUp.await();
  }

  /** Whether another process may accept from the listening socket too. */
  boolean isSocketInherited() {
    return isSocketInherited;
  }

  /** Begins serving, unless the shutdown has begun. */
  void markReady(long nowUs) {
    lifecycle.markReady(nowUs);
    if (lifecycle.isReady()) { // not if it is stopping
      long elapsedMs = (nowUs - startedUs) / MICROS_PER_MILLI;
      LOG.info(() -> "ready on " + listeningSocket.address() + " after " + elapsedMs + " ms");
    }
  }
}
