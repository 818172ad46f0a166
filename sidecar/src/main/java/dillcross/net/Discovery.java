package dillcross.net;

import dillcross.sidecar.Core;
import dillcross.sidecar.Order;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.logging.Logger;

/** Watches of the list, one at a time, on a connection that is kept. Each is reported once: news, or failed. */
final class Discovery implements Part {
    private static final long GRACE_US = 1_000_000; // beyond a watch's wait, until the call counts as lost
    // After a failure or a move the list may be slow and not silent; and what was missed is about to count as told. So that call
    // waits for hardly any news, and longer for its answer: both together no longer than a usual call.
    private static final long PATIENT_US = 2_750_000;
    private static final long AGAIN_MS = 250;

    private static final Logger LOG = Logger.getLogger(Discovery.class.getName());

    private final Core core;
    private final LongSupplier clock;
    private final Connector connector;
    private String address;
    private long connectUs;
    private long waitMs; // that a watch may wait for news; one that falls silent is not noticed sooner
    private Link link;
    private Order.Watch asked; // null while no call is out
    private long limitUs;
    private boolean failing;
    private boolean behind; // no call has been answered since one failed, or since the list moved

    Discovery(Network network, Core core, LongSupplier clock, String address, Budget budget) {
        this.core = core;
        this.clock = clock;
        this.address = address;
        connector = new Connector(network, this, Reader.MOST_LIST, Reader.MOST_LIST, budget);
    }

    /** Limits for the calls from now on; the one that is out keeps its own. */
    void limits(long toConnectUs, long toWaitMs) {
        connectUs = toConnectUs;
        waitMs = toWaitMs;
    }

    void watch(Order.Watch order) {
        if (asked != null) {
            return; // the call that is out brings it
        }
        asked = order;
        if (link != null && link.isOpen() && !link.ended && !link.stirs() && link.in.size() == 0 && !link.ended) {
            send(link);
        } else {
            limitUs = clock.getAsLong() + connectUs;
            Link old = link; // what came on it unasked, or behind an answer, must not be read as the next
            link = null;
            if (old != null) {
                old.close();
            }
            Link opening = connector.open(address, up -> connected(order, up));
            link = asked == order && link == null ? opening : link;
        }
    }

    /** A connection that comes up, or fails, after its call was given up is no word on the call that is out now. */
    private void connected(Order.Watch order, Link up) {
        if (asked != order) {
            if (up != null) {
                up.close();
            }
        } else if (up == null) {
            fail();
        } else {
            link = up;
            send(up);
        }
    }

    /** From now on the list is at another address; what is open to the old one is closed, the call on it dropped. */
    void move(String to) {
        address = to;
        behind = true;
        drop();
    }

    /** Ends the call that is out, if one is, and its connection. */
    private void drop() {
        Link old = link;
        asked = null;
        link = null;
        if (old != null) {
            old.close();
        }
    }

    private void send(Link on) {
        long forMs = behind ? Math.min(AGAIN_MS, waitMs) : waitMs;
        limitUs = clock.getAsLong() + forMs * 1000 + (behind ? PATIENT_US : GRACE_US);
        String target = "/v1/servers?since=" + asked.version() + "&timeout_ms=" + forMs;
        on.write(Message.request("GET", target, Map.of("host", address), Message.NOTHING));
    }

    private void fail() {
        if (asked != null) {
            drop();
            behind = true;
            if (!failing) {
                failing = true;
                LOG.warning("the list can't be had; the last one holds");
            }
            core.listFailed(clock.getAsLong());
        }
    }

    @Override
    public void message(Link from, Message message, int fault) {
        Message answer = from == link && asked != null ? message : null;
        Roster roster = answer != null && answer.status() == 200 ? Roster.parse(answer.body()) : null;
        if (roster == null) {
            if (from == link) {
                fail();
            }
            from.close();
        } else {
            asked = null;
            behind = false;
            if (failing) {
                failing = false;
                LOG.info("the list is back");
            }
            if (!answer.keepsAlive()) {
                from.close();
            }
            core.list(clock.getAsLong(), roster.version(), roster.whole(), roster.entries(), true);
        }
    }

    @Override
    public void closed(Link closed) {
        if (closed == link) {
            link = null;
            fail();
        }
        closed.free();
    }

    long dueUs() {
        return asked == null ? Long.MAX_VALUE : limitUs;
    }

    /** A call that hangs is lost. */
    void sweep(long nowUs) {
        if (asked != null && nowUs >= limitUs) {
            fail();
        }
    }
}
