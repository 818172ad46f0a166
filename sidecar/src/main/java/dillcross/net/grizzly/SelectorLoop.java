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
 * The event loop of the one selector thread. Ready events are gathered first: the filters note
 * them. Then, before the next select, the task acts on all of them in one go.
 */
final class SelectorLoop extends DefaultSelectorHandler {
  private static final int MICROS_PER_MILLI = 1000;

  private final Network.EventLoopTask task;
  private final Queue<GrizzlyDatagrams> toRegister = new ConcurrentLinkedQueue<>();
  private volatile Selector selector;
  private volatile boolean hasDatagrams;

  SelectorLoop(Network.EventLoopTask task) {
    this.task = task;
  }

  /** Has an iteration made now. From any thread. */
  void wakeUp() {
    Selector current = selector;
    if (current != null) {
      current.wakeup();
    }
  }

  /**
   * Has a datagram socket selected too, from the next select on; Grizzly's own transport for them
   * would bring a second thread. From any thread.
   */
  void register(GrizzlyDatagrams socket) {
    toRegister.add(socket);
    hasDatagrams = true;
    wakeUp();
  }

  @Override
  public boolean preSelect(SelectorRunner runner) throws IOException {
    boolean proceeds = super.preSelect(runner);
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

  /** Grizzly knows nothing of these keys: they are handled here and taken out. */
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
