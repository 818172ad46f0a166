package dillcross.net;

import dillcross.model.Category;
import dillcross.sidecar.Core;
import dillcross.sidecar.Order;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.memory.HeapMemoryManager;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/** The running sidecar: its transport with one selector thread, and the parts that the thread works for. */
public final class Node {
    private static final Logger LOG = Logger.getLogger(Node.class.getName());
    private static final int BACKLOG = 1024;
    private static final int SPARE_DESCRIPTORS = 64; // files, selector, listening socket, list, and what closes
    private static final long ACCEPT_US = 500_000; // after the order to stop, new connections still come

    private final Core core;
    private final LongSupplier clock;
    private final long mostTtlUs;
    private final TCPNIOTransport transport;
    private final Listener listener;
    private final Endpoints endpoints;
    private final Discovery discovery;
    private final CountDownLatch done = new CountDownLatch(1);
    private final Loop loop = new Loop(this::turn, this::dueInUs);
    private volatile boolean stop;
    private long stopUs; // when it was asked to stop; 0 while it was not
    private long sweptUs;

    public Node(Core core, LongSupplier clock, Iterable<Category> categories, long mostTtlUs, String discoveryAddress,
            long connectUs, long keepUs, int descriptors) {
        this.core = core;
        this.clock = clock;
        this.mostTtlUs = mostTtlUs;
        TCPNIOTransportBuilder builder = TCPNIOTransportBuilder.newInstance();
        builder.setName("dillcross").setIOStrategy(SameThreadIOStrategy.getInstance()).setSelectorRunnersCount(1)
                .setMemoryManager(new HeapMemoryManager()).setSelectorHandler(loop);
        builder.setTcpNoDelay(true).setReuseAddress(true).setKeepAlive(false);
        transport = builder.build();
        int half = Math.max(4, (descriptors - SPARE_DESCRIPTORS) / 2);
        Map<String, Category> byName = new LinkedHashMap<>();
        categories.forEach(c -> byName.put(c.name(), c));
        listener = new Listener(core, clock, byName, mostTtlUs, half);
        // A tenth early: the endpoint's clock for the idle limit began before ours.
        endpoints = new Endpoints(transport, core, clock, connectUs, keepUs - keepUs / 10, half);
        discovery = new Discovery(transport, core, clock, discoveryAddress, Math.max(connectUs, 1_000_000));
    }

    public void start(InetSocketAddress listen) throws IOException {
        transport.start();
        transport.setProcessor(FilterChainBuilder.stateless().add(new RingFilter()).add(new HttpFilter(true))
                .add(listener).build());
        TCPNIOServerConnection server = transport.bind(listen, BACKLOG);
        listener.serve(server);
        listener.ready();
        LOG.info(() -> "ready on " + listen);
    }

    /** Stops accepting when new connections have ceased to come, answers what it has taken, then is done. */
    public void stop() throws InterruptedException {
        stop = true;
        loop.wake();
        done.await();
    }

    private long dueInUs() {
        long due = Math.min(core.dueUs(), Math.min(endpoints.dueUs(), discovery.dueUs()));
        long now = clock.getAsLong();
        return stopUs > 0 ? Math.min(due - now, 5_000) : Math.min(due - now, 250_000);
    }

    private void turn() {
        try {
            long now = clock.getAsLong();
            endpoints.sweep(now);
            discovery.sweep(now);
            for (Order order; (order = core.next(now)) != null;) {
                carryOut(order);
            }
            if (now - sweptUs > 200_000) {
                sweptUs = now;
                listener.sweep(now);
            }
            if (stop) {
                wind(now);
            }
        } catch (RuntimeException broken) {
            LOG.log(Level.SEVERE, "a turn of the loop failed", broken);
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
        } else if (order instanceof Order.Nack nack) {
            Message answer = Message.answer(503, "turned away, another try is harmless");
            if (nack.retryAfterUs() > 0) {
                answer.fields().put(Names.RETRY_AFTER, seconds(nack.retryAfterUs()));
            }
            listener.answer(nack.client(), answer);
        } else if (order instanceof Order.DeadLetter dead) {
            listener.answer(dead.client(), Message.answer(502, "failed"));
        } else if (order instanceof Order.Watch watch) {
            discovery.watch(watch);
        }
    }

    private static String seconds(long us) {
        long ms = (us + 999) / 1000;
        return String.format(java.util.Locale.ROOT, "%d.%03d", ms / 1000, ms % 1000);
    }

    private void wind(long now) {
        if (stopUs == 0) {
            stopUs = now;
            LOG.info("stopping");
            listener.drain();
        }
        if (now - stopUs > ACCEPT_US) {
            listener.stopAccepting();
            if (core.open() == 0 && listener.drained() || now - stopUs > mostTtlUs + ACCEPT_US + 150_000) {
                done.countDown();
            }
        }
    }
}
