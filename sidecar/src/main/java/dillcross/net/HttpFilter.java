package dillcross.net;

import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.Filter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/** Bytes of the rings to messages and back. One message at a time goes up; the next waits in the ring. */
final class HttpFilter extends BaseFilter {
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final int NO_MEMORY = 503; // nothing of it has gone further, so another try is harmless
    private final boolean server;

    private HttpFilter(boolean server) {
        this.server = server;
    }

    /** The chain of a connection on which we serve, or else ask: sockets, rings, messages, and the given part on top. */
    static FilterChain chain(boolean server, Filter top) {
        return FilterChainBuilder.stateless().add(new RingFilter()).add(new HttpFilter(server)).add(top).build();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        Link link = Link.of(ctx.getConnection());
        if (link.reader.flows() && !link.closing) {
            if (link.source != null) {
                link.source.pump();
            }
            if (server && link.ended) {
                link.close(); // a client that closes has gone
            }
            link.hold();
            return ctx.getStopAction();
        }
        boolean busy = server && link.user != null; // what comes behind a request waits in the ring
        if (!link.closing && !busy) {
            Message message = link.reader.read(link.in, link.ended && !link.reset);
            message = message != null && link.reader.flows() ? message.flowing(link) : message;
            if (server && link.reader.takeWantsMore()) {
                link.out.add(CONTINUE);
                link.flush();
            }
            int fault = link.reader.fault() == 0 && server && link.in.starved() ? NO_MEMORY : link.reader.fault();
            if (message != null || fault != 0) {
                ctx.setMessage(message == null ? fault : message);
                return ctx.getInvokeAction();
            }
        }
        if (link.ended || link.in.full() && !busy) {
            link.close();
        } else if (busy) {
            link.hold();
        }
        return ctx.getStopAction();
    }

    @Override
    public NextAction handleWrite(FilterChainContext ctx) {
        Link link = Link.of(ctx.getConnection());
        Message message = ctx.getMessage();
        if (!link.add(message)) {
            link.close();
            return ctx.getStopAction();
        }
        return ctx.getInvokeAction();
    }
}
