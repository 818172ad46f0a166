package dillcross.net;

import dillcross.Logic;
import dillcross.model.Category;
import dillcross.sidecar.Core;
import dillcross.sidecar.Order;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.ObjLongConsumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.filterchain.Filter;
import org.glassfish.grizzly.memory.HeapMemoryManager;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/** The running sidecar: its transport with one selector thread, and the parts that the thread works for. */
public final class Node {
    private static final Logger LOG = Logger.getLogger(Node.class.getName());
    private static final int REHEARSALS = 120;
    private static final long MOST_REHEARSAL_US = 1_000_000;
    private static final int MOST_TRACES = 20;
    private static final int BACKLOG = 1024;
    private static final int SPARE_DESCRIPTORS = 48; // files, selector, listening socket, list, and what closes
    private static final long ACCEPT_US = 500_000; // after the order to stop, new connections still come
    private static final long QUIET_US = 150_000;
    private static final long SWEEP_US = 200_000;

    private final Core core;
    private final LongSupplier clock;
    private final TCPNIOTransport transport;
    private final Listener listener;
    private final Endpoints endpoints;
    private final Discovery discovery;
    private final CountDownLatch warm = new CountDownLatch(1);
    private final CountDownLatch done = new CountDownLatch(1);
    private final Loop loop = new Loop(this::look, this::turn, this::dueInUs);
    private final Life life = new Life(); // the selector thread's alone
    private final Door door = new Door(life, this::now);
    private volatile long mostTtlUs; // of all settings so far: an op may be open from any of them
    private final Queue<Runnable> changes = new ConcurrentLinkedQueue<>(); // to carry out between two turns
    private String doorIs; // the operators' address; null where they have none
    private String self; // the address at which it asks itself to get warm; null where there is none
    private volatile boolean starting; // the two above are set
    private volatile boolean inherited; // the listening socket: another process may accept from it too
    private final long startedUs;
    private long rehearsed;
    private long sweptUs;
    private int faults;
    private long now; // the clock when this turn began to gather
    private boolean accepting = true;
    private boolean swept; // at the end of accepting

    public Node(Core core, LongSupplier clock, Iterable<Category> categories, long mostTtlUs, String discoveryAddress,
            long connectUs, long keepUs, long watchMs, int descriptors, long mostBody, long room) {
        this.core = core;
        this.clock = clock;
        look();
        startedUs = now;
        TCPNIOTransportBuilder builder = TCPNIOTransportBuilder.newInstance();
        builder.setName("dillcross").setIOStrategy(SameThreadIOStrategy.getInstance()).setSelectorRunnersCount(1)
                .setMemoryManager(new HeapMemoryManager()).setSelectorHandler(loop);
        builder.setTcpNoDelay(true).setReuseAddress(true).setKeepAlive(false);
        transport = builder.build();
        Budget budget = new Budget(room);
        // Clients need more: some ask once and stay, some say nothing; an endpoint's connection serves one op after another.
        int third = (descriptors - SPARE_DESCRIPTORS) / 3;
        listener = new Listener(core, life, this::now, 2 * third, mostBody, budget);
        endpoints = new Endpoints(transport, core, this::now, third, mostBody, budget);
        discovery = new Discovery(transport, core, this::now, discoveryAddress, budget);
        limits(categories, mostTtlUs, connectUs, keepUs, watchMs);
    }

    private void limits(Iterable<Category> categories, long ttlUs, long connectUs, long keepUs, long watchMs) {
        Map<String, Category> byName = new LinkedHashMap<>();
        categories.forEach(c -> byName.put(c.name(), c));
        mostTtlUs = Math.max(mostTtlUs, ttlUs);
        listener.serves(byName, ttlUs);
        endpoints.limits(connectUs, keepUs - keepUs / 10); // a tenth early: the endpoint's clock began before ours
        discovery.limits(Math.max(connectUs, 1_000_000), watchMs);
    }

    /** Takes new settings on; what is open, kept or learned stays. To be called {@link #between} two turns. */
    public void settings(ObjLongConsumer<Logic> teller, Iterable<Category> categories, long ttlUs, long connectUs,
            long keepUs, long watchMs) {
        core.settings(now, teller);
        limits(categories, ttlUs, connectUs, keepUs, watchMs);
    }

    /** Has the selector thread make a change, in one go between two turns, and returns then. */
    public void between(Runnable change) throws InterruptedException {
        CountDownLatch made = new CountDownLatch(1);
        changes.add(() -> {
            try {
                change.run();
            } finally {
                made.countDown(); // a fault in it is logged by the turn, and must not hold later reloads
            }
        });
        loop.wake();
        made.await();
    }

    /** Begins to turn, and opens the operators' door if they have one: they may ask from the first moment on. */
    public void open(InetSocketAddress doorAt) throws IOException {
        transport.start();
        if (doorAt != null) {
            doorIs = text(bind(doorAt, door));
            LOG.info(() -> "operators' door on " + doorIs);
        }
    }

    /** To an address, or where it is null to the listening socket that was inherited. */
    private TCPNIOServerConnection bind(InetSocketAddress at, Filter top) throws IOException {
        TCPNIOBindingHandler binder = TCPNIOBindingHandler.builder(transport).processor(HttpFilter.chain(true, top)).build();
        return at == null ? binder.bindToInherited() : binder.bind(at, BACKLOG);
    }

    private static String text(TCPNIOServerConnection server) {
        InetSocketAddress own = (InetSocketAddress) server.getLocalAddress();
        return own.getAddress().getHostAddress() + ":" + own.getPort();
    }

    /** Warms up and serves at that address, or where it is null on the listening socket that this process inherited. */
    public void start(InetSocketAddress listen) throws IOException, InterruptedException {
        inherited = listen == null;
        TCPNIOServerConnection server = null;
        if (!inherited) {
            server = bind(listen, listener);
            listener.serve(server);
            self = text(server);
        } else if (System.inheritedChannel() instanceof ServerSocketChannel) {
            self = doorIs; // through the clients' socket the process before this one would be asked
        } else {
            throw new IOException("NODE_FD names no listening socket that can be taken over (descriptor 0)");
        }
        starting = true;
        loop.wake();
        warm.await();
        if (inherited) { // only now: what it accepts it has to serve at once
            server = bind(null, listener);
            listener.serve(server);
        }
        String at = text(server);
        between(() -> {
            life.ready(now);
            LOG.info(() -> "ready on " + at + " after " + (now - startedUs) / 1000 + " ms");
        });
    }

    /**
     * Warms up before the first client comes: asks itself for its health, or at the door, over real sockets and through every filter.
     * The answers belong to no op, so the core passes them over.
     */
    private void rehearse() {
        boolean enough = rehearsed >= REHEARSALS || now - startedUs > MOST_REHEARSAL_US;
        enough |= self == null;
        if (!enough && endpoints.busy()) {
            return;
        }
        for (int i = 0; i < 4 && !enough; i++) {
            Message request = Message.request("GET", inherited ? Names.READY_PATH : Names.HEALTH_PATH, Map.of("host", self), Message.NOTHING);
            endpoints.push(new Order.Push(-1 - rehearsed++, 0, self, self, request, now + MOST_REHEARSAL_US));
        }
        if (enough) {
            endpoints.forget(self);
            warm.countDown();
        }
    }

    /** Has the list asked for at another address, at once; all else stays. To be called {@link #between} two turns. */
    public void moveDiscovery(String address) {
        discovery.move(address);
        core.listMoved(now);
    }

    /** Stops accepting when new connections have ceased to come, answers what it has taken, then is done. */
    public void stop() throws InterruptedException {
        changes.add(() -> {
            life.stop(now);
            LOG.info("stopping");
        });
        loop.wake();
        done.await(mostTtlUs + 2 * ACCEPT_US, TimeUnit.MICROSECONDS); // the loop may not have started
    }

    private void look() {
        now = clock.getAsLong();
    }

    private long now() {
        return now;
    }

    private long dueInUs() {
        long due = Math.min(core.dueUs(), Math.min(endpoints.dueUs(), discovery.dueUs()));
        return Math.min(due - clock.getAsLong(), life.stopping() ? 5_000 : SWEEP_US);
    }

    private void turn() {
        try {
            look();
            endpoints.sweep(now);
            for (Runnable change; (change = changes.poll()) != null;) {
                change.run();
            }
            discovery.sweep(now);
            for (Order order; (order = core.next(now)) != null;) {
                carryOut(order);
            }
            if (starting && warm.getCount() > 0) {
                rehearse();
            }
            if (now - sweptUs >= SWEEP_US) {
                sweptUs = now;
                listener.sweep(now);
                door.sweep(now);
            }
            if (life.stopping()) {
                wind();
            }
        } catch (RuntimeException broken) {
            if (faults++ < MOST_TRACES) { // one that comes back at every turn must not fill the log
                LOG.log(Level.SEVERE, "a turn of the loop failed", broken);
            }
        }
    }

    private void carryOut(Order order) {
        if (order instanceof Order.Push push) {
            endpoints.push(push);
        } else if (order instanceof Order.GiveUp giveUp) {
            endpoints.giveUp(giveUp);
        } else if (order instanceof Order.Ack ack) {
            Message answer = (Message) ack.content();
            listener.answer(ack.client(), Message.answer(200, answer.passedOn(), answer.body()));
        } else if (order instanceof Order.Pass pass) {
            Listener.Caller caller = (Listener.Caller) pass.client();
            Message answer = (Message) pass.content();
            endpoints.passOn(answer, caller.link(), listener.pass(caller, answer));
        } else if (order instanceof Order.Passed passed) {
            listener.passed((Listener.Caller) passed.client(), passed.whole());
        } else if (order instanceof Order.Reject reject) {
            listener.answer(reject.client(), Message.answer(((Message) reject.content()).status(), "turned down"));
        } else if (order instanceof Order.Nack nack) {
            Message answer = Message.answer(503, "turned away, another try is harmless");
            if (nack.retryAfterUs() > 0) {
                answer.fields().put(Names.RETRY_AFTER, seconds(nack.retryAfterUs()));
            }
            listener.answer(nack.client(), answer);
        } else if (order instanceof Order.DeadLetter dead) {
            listener.answer(dead.client(), Message.answer(502, "failed"));
        } else if (order instanceof Order.Forget forget) {
            endpoints.forget(forget.endpoint());
        } else if (order instanceof Order.Watch watch) {
            discovery.watch(watch);
        }
    }

    private static String seconds(long us) {
        long ms = (us + 999) / 1000;
        return String.format(java.util.Locale.ROOT, "%d.%03d", ms / 1000, ms % 1000);
    }

    private void wind() {
        long forUs = life.stoppingForUs(now);
        if (accepting && (inherited || forUs > ACCEPT_US)) {
            accepting = false;
            listener.stopAccepting(inherited);
        }
        if (forUs > ACCEPT_US) {
            if (!swept) {
                swept = true;
                listener.sweep(now); // nothing idle is kept from here on
            }
            boolean quiet = forUs > ACCEPT_US + QUIET_US; // a request may be on its way to us still
            if (quiet && core.open() == 0 && listener.drained() || forUs > mostTtlUs + ACCEPT_US + QUIET_US) {
                done.countDown();
            }
        }
    }
}
