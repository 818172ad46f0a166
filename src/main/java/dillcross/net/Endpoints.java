package dillcross.net;

import dillcross.sidecar.Core;
import dillcross.sidecar.Ending;
import dillcross.sidecar.Order;
import dillcross.sidecar.Reach;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** Pushes on connections to endpoints. Nothing here is sent twice: each push is written once, and reported once. */
final class Endpoints extends BaseFilter {
    /** One push that is out. */
    private static final class Exchange {
        final Order.Push push;
        final long sentUs;
        final long connectByUs;
        Link link; // null until it is opened

        Exchange(Order.Push push, long sentUs, long connectUs) {
            this.push = push;
            this.sentUs = sentUs;
            connectByUs = sentUs + connectUs;
        }

        Reach reach() {
            return link == null || !link.connected ? Reach.NOT_CONNECTED
                    : link.written() ? Reach.WHOLE_WRITTEN : Reach.PARTLY_WRITTEN;
        }
    }

    private record Key(long op, int push) { }

    private static final long REST_US = 2_000; // after an answer, for what may come behind it

    private final Core core;
    private final LongSupplier clock;
    private final Connector connector;
    private final long connectUs;
    private final long idleUs;
    private final int most; // connections
    private final Map<Key, Exchange> exchanges = new HashMap<>();
    private final ArrayDeque<Exchange> connecting = new ArrayDeque<>(); // in the order of their limits
    private final Map<String, ArrayDeque<Link>> idle = new LinkedHashMap<>();
    private int open;
    private long sweptUs;

    Endpoints(TCPNIOTransport transport, Core core, LongSupplier clock, long connectUs, long idleUs, int most,
            Budget budget) {
        this.core = core;
        this.clock = clock;
        this.connectUs = connectUs;
        this.idleUs = idleUs;
        this.most = most;
        connector = new Connector(transport, this, budget);
    }

    void push(Order.Push push) {
        Exchange exchange = new Exchange(push, clock.getAsLong(), connectUs);
        exchanges.put(new Key(push.op(), push.push()), exchange);
        exchange.link = take(push.address());
        if (exchange.link != null) {
            send(exchange);
            return;
        }
        if (open >= most && !closeOneIdle()) {
            end(exchange, Ending.Kind.NOT_SENT, null); // our limit is no mark against the endpoint
            return;
        }
        open++;
        connecting.add(exchange);
        exchange.link = connector.open(push.address(), up -> connected(exchange, up));
    }

    /**
     * A connection that is free: the one used last, as it is the least likely to be dead, of those that rested a little,
     * since what comes late behind an answer would answer the next request; or else the one that rested longest.
     */
    private Link take(String address) {
        ArrayDeque<Link> free = idle.get(address);
        Link taken = null;
        for (Link link : free == null ? List.<Link>of() : List.copyOf(free)) {
            if (!usable(link)) {
                free.remove(link);
                link.close();
            } else if (taken == null || clock.getAsLong() - link.idleUs >= REST_US) {
                taken = link;
            }
        }
        if (taken != null) {
            free.remove(taken);
        }
        return taken;
    }

    /**
     * Looks at the socket itself: what came since its answer belongs to nobody. The endpoint closes what is idle for long,
     * and a request that crosses that is lost, so we close before it does.
     */
    private boolean usable(Link link) {
        if (link.connection.isOpen() && !link.ended && clock.getAsLong() - link.idleUs < idleUs) {
            link.fill();
            return !link.ended && link.in.size() == 0;
        }
        return false;
    }

    private boolean closeOneIdle() {
        for (ArrayDeque<Link> free : idle.values()) {
            Link link = free.pollFirst();
            if (link != null) {
                link.close();
                return true;
            }
        }
        return false;
    }

    private void connected(Exchange exchange, Link up) {
        if (up == null) {
            end(exchange, Ending.Kind.BROKEN, null);
        } else if (connecting.remove(exchange)) {
            exchange.link = up;
            if (core.sendable(exchange.push.op(), exchange.push.push())) {
                send(exchange);
            } else {
                end(exchange, Ending.Kind.NOT_SENT, null);
            }
        } else { // given up meanwhile
            open++;
            up.close();
        }
    }

    private void send(Exchange exchange) {
        Link link = exchange.link;
        link.user = exchange;
        Message request = (Message) exchange.push.content();
        Map<String, String> fields = request.passedOn();
        long waitMs = Math.max(1, (exchange.push.untilUs() - clock.getAsLong()) / 1000);
        fields.put(Names.TIMEOUT, String.valueOf(waitMs));
        link.connection.write(Message.request(request.first(), request.second(), fields, request.body()));
    }

    void giveUp(Order.GiveUp order) {
        Exchange exchange = exchanges.get(new Key(order.op(), order.push()));
        if (exchange != null) {
            end(exchange, Ending.Kind.GIVEN_UP, null);
            dropOlder(exchange);
        }
    }

    /**
     * An endpoint that was cut off leaves its connections open, silent and dead: when a push to it is given up, those
     * that no answer has come on since are not used again, or each would cost one more push.
     */
    private void dropOlder(Exchange silent) {
        ArrayDeque<Link> free = idle.get(silent.push.address());
        for (Link link; free != null && (link = free.peekFirst()) != null && link.idleUs <= silent.sentUs;) {
            free.pollFirst();
            link.close();
        }
    }

    /** Takes the exchange off its connection, which is closed unless the next can use it, and reports the end. */
    private void end(Exchange exchange, Ending.Kind kind, Message answer) {
        Key key = new Key(exchange.push.op(), exchange.push.push());
        if (!exchanges.remove(key, exchange)) {
            return;
        }
        Ending ending = new Ending(kind, exchange.reach(), answer);
        if (connecting.remove(exchange)) {
            open--;
        }
        Link link = exchange.link;
        if (link != null) {
            link.user = null;
            boolean unused = kind == Ending.Kind.NOT_SENT && link.connected;
            boolean whole = answer != null && answer.keepsAlive() && link.written() && link.in.size() == 0;
            boolean reuse = (unused || whole) && !link.ended;
            if (reuse) {
                link.idleUs = clock.getAsLong();
                idle.computeIfAbsent(exchange.push.address(), a -> new ArrayDeque<>()).addLast(link);
            } else {
                link.close();
            }
        }
        core.ended(clock.getAsLong(), key.op, key.push, ending);
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        Link link = Link.of(ctx.getConnection());
        Exchange exchange = (Exchange) link.user;
        if (exchange == null || !(ctx.getMessage() instanceof Message)) {
            link.close(); // an answer that nobody asked for, or one that can't be read
            return ctx.getStopAction();
        }
        Message answer = ctx.getMessage();
        end(exchange, kind(answer), answer);
        return ctx.getStopAction();
    }

    private static Ending.Kind kind(Message answer) {
        return switch (answer.status()) {
            case 200 -> Ending.Kind.ACKED;
            case 503, 504 -> "1".equals(answer.field(Names.NOT_STARTED)) ? Ending.Kind.TURNED_AWAY : Ending.Kind.ERROR;
            // Those speak of the endpoint or the moment; any other 4xx of the op, which no endpoint would take.
            case 408, 425, 429 -> Ending.Kind.ERROR;
            default -> answer.status() / 100 == 4 ? Ending.Kind.REJECTED : Ending.Kind.ERROR;
        };
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        Link link = Link.of(ctx.getConnection());
        open--;
        if (link.user != null) {
            end((Exchange) link.user, Ending.Kind.BROKEN, null);
        }
        link.free();
        return ctx.getInvokeAction();
    }

    boolean busy() {
        return !exchanges.isEmpty();
    }

    /** Closes what is idle to an address. */
    void drop(String address) {
        ArrayDeque<Link> free = idle.remove(address);
        if (free != null) {
            free.forEach(Link::close);
        }
    }

    long dueUs() {
        return connecting.isEmpty() ? Long.MAX_VALUE : connecting.peekFirst().connectByUs;
    }

    /** Ends what does not connect in time, and drops what has been idle for too long. */
    void sweep(long nowUs) {
        for (Exchange e; (e = connecting.peekFirst()) != null && e.connectByUs <= nowUs;) {
            end(e, Ending.Kind.BROKEN, null);
        }
        if (nowUs - sweptUs > 1_000_000) {
            sweptUs = nowUs;
            idle.values().forEach(free -> {
                for (Link link; (link = free.peekFirst()) != null && !usable(link);) {
                    free.pollFirst();
                    link.close();
                }
            });
            idle.values().removeIf(ArrayDeque::isEmpty);
        }
    }
}
