package dillcross.net;

import dillcross.model.Category;
import dillcross.model.Effect;
import dillcross.sidecar.Core;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.logging.Logger;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;

/** The clients' side: requests to ops, answers to clients. */
final class Listener extends BaseFilter {
    private static final long LINGER_US = 1_000_000; // for the other side to read a last answer and close
    private static final long PARTIAL_US = 10_000_000; // that a request may take to come, or an answer to be read
    private static final Logger LOG = Logger.getLogger(Listener.class.getName());

    private final Core core;
    private final LongSupplier clock;
    private final Map<String, Category> categories;
    private final long mostTtlUs;
    private final int most; // connections
    private final Budget budget;
    private final Set<Link> links = new LinkedHashSet<>();
    private TCPNIOServerConnection server;
    private boolean paused;
    private boolean ready;
    private boolean draining;

    Listener(Core core, LongSupplier clock, Map<String, Category> categories, long mostTtlUs, int most,
            Budget budget) {
        this.core = core;
        this.clock = clock;
        this.categories = categories;
        this.mostTtlUs = mostTtlUs;
        this.most = most;
        this.budget = budget;
    }

    void serve(TCPNIOServerConnection on) {
        server = on;
    }

    void ready() {
        ready = true;
    }

    // ---- Connections

    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
        Link link = new Link((NIOConnection) ctx.getConnection(), true, budget);
        link.connected = true;
        link.idleUs = clock.getAsLong();
        links.add(link);
        if (links.size() >= most && !closeOneIdle(link)) {
            pause(true); // at the limit an accept would fail, and fail again, and spin
        }
        return ctx.getInvokeAction();
    }

    /** It carries nothing, and nothing is lost when it is closed. */
    private static boolean idle(Link link) {
        return link.user == null && link.in.size() == 0 && !link.reader.within() && link.out.size() == 0;
    }

    private boolean closeOneIdle(Link but) {
        Link longest = links.stream().filter(l -> l != but && idle(l)).min(Comparator.comparingLong(l -> l.idleUs))
                .orElse(null);
        if (longest != null) {
            longest.close();
        }
        return longest != null;
    }

    private void pause(boolean now) {
        if (paused != now && server != null && server.isOpen()) {
            paused = now;
            try {
                if (now) {
                    LOG.warning("at the limit of client connections; new ones wait");
                    server.disableIOEvent(IOEvent.SERVER_ACCEPT);
                } else {
                    server.enableIOEvent(IOEvent.SERVER_ACCEPT);
                }
            } catch (java.io.IOException closed) {
                paused = false;
            }
        }
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        Link link = Link.of(ctx.getConnection());
        links.remove(link);
        if (link.user instanceof Long op) {
            link.user = null;
            core.left(clock.getAsLong(), op);
        }
        pause(false);
        link.free();
        return ctx.getInvokeAction();
    }

    // ---- Requests

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        Link link = Link.of(ctx.getConnection());
        if (link.ended) {
            link.close(); // a client that closes has gone
        } else if (ctx.getMessage() instanceof Message request) {
            request(link, request);
        } else {
            reject(link, (Integer) ctx.getMessage(), "malformed request, or no room for it");
        }
        return ctx.getStopAction();
    }

    private void request(Link link, Message request) {
        String target = request.second();
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        if (path.equals(Names.HEALTH_PATH)) {
            boolean up = ready && !draining;
            answer(link, request, Message.answer(up ? 200 : 503, up ? "ready" : "not ready"));
            return;
        }
        int second = path.indexOf('/', 1);
        Category category = categories.get(second < 0 ? path.substring(1) : path.substring(1, second));
        String timeout = request.field(Names.TIMEOUT);
        if (!request.first().equals("GET") && !request.first().equals("POST")) {
            reject(link, 405, "only GET and POST are served");
        } else if (category == null) {
            reject(link, 404, "unknown category");
        } else if (timeout == null || !timeout.matches("[0-9]{1,9}") || Long.parseLong(timeout) == 0) {
            reject(link, 400, Names.TIMEOUT + " has to be a whole number of milliseconds above 0");
        } else if (request.field(Names.ID) == null || request.field(Names.ID).isEmpty()) {
            reject(link, 400, Names.ID + " is missing");
        } else if (category.effect() == Effect.DEDUPLICATED && request.field(Names.KEY) == null) {
            reject(link, 400, Names.KEY + " is missing"); // a repeat could not be recognised
        } else {
            long ttlUs = Math.min(mostTtlUs, Long.parseLong(timeout) * 1000);
            link.user = core.arrive(clock.getAsLong(), new Caller(link, request), request,
                    request.field(Names.TENANT), category.name(), ttlUs, "1".equals(request.field(Names.REPEAT)));
        }
    }

    /** Who waits for an op: the connection that it came on, and what it asked for. */
    record Caller(Link link, Message request) { }

    // ---- Answers

    /** A bad request is answered, its connection closed, and nothing goes further. */
    private void reject(Link link, int status, String why) {
        link.closing = true;
        link.idleUs = clock.getAsLong();
        write(link, Message.answer(status, why));
    }

    void answer(Object client, Message answer) {
        Caller caller = (Caller) client;
        caller.link().user = null;
        answer(caller.link(), caller.request(), answer);
    }

    private void answer(Link link, Message request, Message answer) {
        link.idleUs = clock.getAsLong();
        link.closing = draining || !request.keepsAlive();
        write(link, answer);
        if (!link.closing && link.in.size() > 0) {
            next(link);
        }
    }

    /** What came while this one was carried out waits in the ring. */
    private static void next(Link link) {
        try {
            link.connection.simulateIOEvent(IOEvent.READ);
        } catch (java.io.IOException closed) {
            link.close();
        }
    }

    private static void write(Link link, Message answer) {
        if (link.closing) {
            answer.fields().put("connection", "close");
        }
        link.connection.write(answer);
    }

    // ---- The end

    /** From now on each answer closes its connection, and so do connections that carry nothing. */
    void drain() {
        draining = true;
        for (Link link : List.copyOf(links)) {
            if (idle(link)) {
                link.close();
            }
        }
    }

    void stopAccepting() {
        if (server != null) {
            server.closeSilently();
        }
    }

    boolean drained() {
        return links.stream().allMatch(l -> l.user == null && l.out.size() == 0 && !l.reader.within());
    }

    void sweep(long nowUs) {
        for (Link link : List.copyOf(links)) {
            boolean partial = link.user == null && !idle(link);
            link.partialUs = !partial ? 0 : link.partialUs == 0 ? nowUs : link.partialUs;
            boolean stuck = partial && nowUs - link.partialUs > PARTIAL_US; // or slow clients would use up the limit
            if (stuck || link.closing && nowUs - link.idleUs > LINGER_US) {
                link.close();
            }
        }
    }
}
