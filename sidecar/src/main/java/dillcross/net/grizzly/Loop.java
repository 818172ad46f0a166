package dillcross.net.grizzly;

import dillcross.net.Network;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;

/**
 * The one thread's loop. What is ready is gathered first: the filters note it. Then, before the
 * next select, the turn hands all of it to the module in one go and carries out what came back.
 */
final class Loop extends DefaultSelectorHandler {
  private final Network.Turns turns;
  private final Queue<GrizzlyDatagrams> opened =
      new ConcurrentLinkedQueue<>(); // datagram sockets to be waited for from the next select on
  private volatile Selector selector;
  private volatile boolean datagrams;

  Loop(Network.Turns turns) {
    this.turns = turns;
  }

  /** From another thread: has a turn made now. */
  void wake() {
    Selector at = selector;
    if (at != null) {
      at.wakeup();
    }
  }

  /**
   * From any thread: has a socket for datagrams waited for on this selector too. Grizzly's own
   * transport for them would bring a second thread.
   */
  void waitsFor(GrizzlyDatagrams socket) {
    opened.add(socket);
    datagrams = true;
    wake();
  }

  /** Grizzly knows nothing of these keys: they are dealt with here and taken out. */
  private void hear(Set<SelectionKey> keys) {
    if (datagrams && !keys.isEmpty()) {
      keys.removeIf(
          key -> {
            boolean ours = key.attachment() instanceof GrizzlyDatagrams;
            if (ours) {
              ((GrizzlyDatagrams) key.attachment()).readable();
            }
            return ours;
          });
    }
  }

  @Override
  public boolean preSelect(SelectorRunner runner) throws IOException {
    boolean go = super.preSelect(runner);
    turns.turn();
    return go;
  }

  @Override
  public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
    selector = runner.getSelector();
    for (GrizzlyDatagrams socket; (socket = opened.poll()) != null; ) {
      socket.register(selector);
    }
    long us = turns.dueInUs();
    if (us <= 0 || !runner.getPostponedTasks().isEmpty()) {
      selector.selectNow();
    } else {
      selector.select(Math.min(getSelectTimeout(), (us + 999) / 1000));
    }
    turns.look();
    Set<SelectionKey> keys = selector.selectedKeys();
    hear(keys);
    return keys;
  }
}
