package dillcross.net.grizzly;

import dillcross.net.transport.Network;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;

/**
 * The event loop of the one selector thread. In each iteration the filters first pass on all ready
 * events; then, before the next select, the task acts on all of them together.
 */
final class SelectorLoop extends DefaultSelectorHandler {
  private static final int MICROS_PER_MILLI = 1000;

  private final Network.EventLoopTask task;
  private final Queue<GrizzlyDatagrams> toRegister = new ConcurrentLinkedQueue<>();
  private final Queue<GrizzlyListeningSocket> listeningSockets = new ConcurrentLinkedQueue<>();
  private volatile Selector selector;
  private volatile boolean hasDatagrams;

  SelectorLoop(Network.EventLoopTask task) {
    this.task = task;
  }

  /** Ends the current select, so that an iteration runs now. May be called from any thread. */
  void wakeUp() {
    Selector current = selector;
    if (current != null) {
      current.wakeup();
    }
  }

  /**
   * Registers a datagram socket before the next select. It is read here, because Grizzly's own
   * datagram transport would need a second thread. May be called from any thread.
   */
  void register(GrizzlyDatagrams socket) {
    toRegister.add(socket);
    hasDatagrams = true;
    wakeUp();
  }

  /** Accepts the connections of a listening socket. May be called from any thread. */
  void addListeningSocket(GrizzlyListeningSocket socket) {
    listeningSockets.add(socket);
  }

  @Override
  public boolean preSelect(SelectorRunner runner) throws IOException {
    boolean proceeds = super.preSelect(runner);
    listeningSockets.forEach(GrizzlyListeningSocket::acceptRest);
    task.afterEvents();
    return proceeds;
  }

  @Override
  public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
    selector = runner.getSelector();
    registerSockets();
    long maxWaitUs = task.maxWaitUs();
    if (maxWaitUs <= 0 || !runner.getPostponedTasks().isEmpty()) {
      selector.selectNow();
    } else {
      long maxWaitMs = (maxWaitUs + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI;
      selector.select(Math.min(getSelectTimeout(), maxWaitMs));
    }
    task.beforeEvents();
    Set<SelectionKey> keys = selector.selectedKeys();
    readDatagrams(keys);
    return keys;
  }

  private void registerSockets() throws IOException {
    GrizzlyDatagrams socket = toRegister.poll();
    while (socket != null) {
      socket.register(selector);
      socket = toRegister.poll();
    }
  }

  /** Reads ready datagram sockets and removes their keys, which Grizzly can't handle. */
  private void readDatagrams(Set<SelectionKey> keys) {
    if (hasDatagrams && !keys.isEmpty()) {
      keys.removeIf(SelectorLoop::readIfDatagrams);
    }
  }

  private static boolean readIfDatagrams(SelectionKey key) {
    if (key.attachment() instanceof GrizzlyDatagrams socket) {
      socket.onReadable();
      return true;
    }
    return false;
  }
}
