package dillcross.net;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.Filter;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** Opens connections under the given top filter. Each has its link before it is up, so that it can be given up. */
final class Connector extends TCPNIOConnectorHandler {
    private final Budget budget;
    private final int whole; // bytes of an answer that is handed over whole
    private final long most; // bytes of any
    private Link opening;

    Connector(TCPNIOTransport transport, Filter top, int whole, long most, Budget budget) {
        super(transport);
        this.whole = whole;
        this.most = most;
        this.budget = budget;
        setProcessor(HttpFilter.chain(false, top));
    }

    @Override
    @SuppressWarnings("rawtypes")
    protected void preConfigure(Connection connection) {
        opening = new Link((NIOConnection) connection, false, whole, most, budget);
    }

    /** {@code done} hears once, with the link where it is up and with null where it can't be had. */
    @SuppressWarnings("rawtypes")
    Link open(String address, Consumer<Link> done) {
        opening = null;
        InetSocketAddress to = Address.parse(address);
        if (to == null) {
            done.accept(null);
            return null;
        }
        connect(to, new EmptyCompletionHandler<Connection>() {
            @Override
            public void completed(Connection connection) {
                Link link = Link.of(connection);
                link.connected = true;
                done.accept(link);
            }

            @Override
            public void failed(Throwable broken) {
                done.accept(null);
            }
        });
        return opening;
    }
}
