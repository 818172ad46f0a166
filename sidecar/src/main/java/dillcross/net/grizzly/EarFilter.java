package dillcross.net.grizzly;

import dillcross.net.Network;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.nio.NIOConnection;

/** The end of each chain: tells a connection's ear what Grizzly's selector found. */
final class EarFilter extends BaseFilter {
  static final Attribute<Network.Ear> EAR =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("dillcross.ear");
  private final Network.Taker taker; // null where we ask

  private EarFilter(Network.Taker taker) {
    this.taker = taker;
  }

  static FilterChain chain(Network.Taker taker) {
    return FilterChainBuilder.stateless().add(new EarFilter(taker)).build();
  }

  @Override
  public NextAction handleAccept(FilterChainContext ctx) {
    NIOConnection connection = (NIOConnection) ctx.getConnection();
    EAR.set(connection, taker.accepted(new GrizzlyWire(connection)));
    return ctx.getInvokeAction();
  }

  @Override
  public NextAction handleRead(FilterChainContext ctx) {
    EAR.get(ctx.getConnection()).readable();
    return ctx.getStopAction();
  }

  @Override
  public NextAction handleClose(FilterChainContext ctx) {
    EAR.get(ctx.getConnection()).closed();
    return ctx.getInvokeAction();
  }
}
