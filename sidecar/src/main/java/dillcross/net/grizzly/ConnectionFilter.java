package dillcross.net.grizzly;

import dillcross.net.transport.Network;
import java.util.Optional;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.nio.NIOConnection;

/** The end of each filter chain: passes Grizzly's events to the handler of a connection. */
final class ConnectionFilter extends BaseFilter {
  private static final Attribute<Network.ConnectionHandler> HANDLER =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("dillcross.handler");

  private final Optional<Network.ConnectionAcceptor> acceptor;

  private ConnectionFilter(Optional<Network.ConnectionAcceptor> acceptor) {
    this.acceptor = acceptor;
  }

  /** A chain for incoming connections. */
  static FilterChain accepting(Network.ConnectionAcceptor acceptor) {
    return chain(Optional.of(acceptor));
  }

  /** A chain for outgoing connections. */
  static FilterChain connecting() {
    return chain(Optional.empty());
  }

  private static FilterChain chain(Optional<Network.ConnectionAcceptor> acceptor) {
    return FilterChainBuilder.stateless().add(new ConnectionFilter(acceptor)).build();
  }

  /** Sets the handler of a connection's events. */
  static void setHandler(NIOConnection connection, Network.ConnectionHandler handler) {
    HANDLER.set(connection, handler);
  }

  /** The handler of a connection's events. */
  static Network.ConnectionHandler handler(NIOConnection connection) {
    return HANDLER.get(connection);
  }

  @Override
  public NextAction handleAccept(FilterChainContext context) {
    NIOConnection connection = (NIOConnection) context.getConnection();
    setHandler(connection, acceptor.orElseThrow().onAccepted(new GrizzlyChannel(connection)));
    return context.getInvokeAction();
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    HANDLER.get(context.getConnection()).onReadable();
    return context.getStopAction();
  }

  @Override
  public NextAction handleClose(FilterChainContext context) {
    HANDLER.get(context.getConnection()).onClosed();
    return context.getInvokeAction();
  }
}
