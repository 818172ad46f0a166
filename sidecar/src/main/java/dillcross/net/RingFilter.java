package dillcross.net;

import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/** The bottom of each chain: socket to ring and ring to socket. */
final class RingFilter extends BaseFilter {
    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        Link link = Link.of(ctx.getConnection());
        link.fill();
        ctx.setMessage(link);
        return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleWrite(FilterChainContext ctx) {
        Link.of(ctx.getConnection()).flush();
        return ctx.getStopAction();
    }
}
