package dillcross.net.grizzly;

import dillcross.net.Network;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Set;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;

/**
 * The one thread's loop. What is ready is gathered first: the filters note it. Then, before the next select, the turn
 * hands all of it to the module in one go and carries out what came back.
 */
final class Loop extends DefaultSelectorHandler {
    private final Network.Turns turns;
    private volatile Selector selector;

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

    @Override
    public boolean preSelect(SelectorRunner runner) throws IOException {
        boolean go = super.preSelect(runner);
        turns.turn();
        return go;
    }

    @Override
    public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
        selector = runner.getSelector();
        long us = turns.dueInUs();
        if (us <= 0 || !runner.getPostponedTasks().isEmpty()) {
            selector.selectNow();
        } else {
            selector.select(Math.min(getSelectTimeout(), (us + 999) / 1000));
        }
        turns.look();
        return selector.selectedKeys();
    }
}
