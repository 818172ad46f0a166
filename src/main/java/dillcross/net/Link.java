package dillcross.net;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Collection;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.asyncqueue.WritableMessage;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** One connection: its two rings, what is read from them, and whom it serves at the moment. */
final class Link {
    private static final int MOST_DROPPED = 1 << 20; // of what still comes after a last answer
    private static final ByteBuffer DROPPED = ByteBuffer.allocate(32 << 10); // nobody looks at it
    // The largest message, its framing, and what may come before it is read.
    private static final int MOST_REQUEST = 2 * Reader.MOST_BODY;
    private static final int MOST_ANSWER = 2 * Reader.MOST_ANSWER;
    private static final Attribute<Link> OF = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("dillcross.link");

    final NIOConnection connection;
    final Ring in;
    final Ring out;
    final Reader reader;
    Collection<Link> pooled; // where it waits while it is free
    Object user; // the exchange that it carries; null while idle
    boolean connected;
    boolean ended; // nothing more comes from the other side
    boolean reset; // ... and what came may be cut short
    int asked; // whole requests that it brought
    private int dropped;
    boolean closing; // to be closed when all is written
    long idleUs; // since when it carries none
    long partialUs; // since when it holds a part of a message; 0 while it does not
    private boolean unsent; // there was no room for its last message
    private boolean writing;

    Link(NIOConnection connection, boolean requests, Budget budget) {
        this.connection = connection;
        in = new Ring(requests ? MOST_REQUEST : MOST_ANSWER, budget);
        out = new Ring(requests ? MOST_ANSWER : MOST_REQUEST, budget);
        reader = new Reader(requests);
        OF.set(connection, this);
    }

    static Link of(Connection<?> connection) {
        return OF.get(connection);
    }

    /** Reads what has come into the ring; the end of the other side's sending is noted, not thrown. */
    void fill() {
        SocketChannel from = (SocketChannel) connection.getChannel();
        try {
            ended |= (closing ? drop(from) : in.read(from)) < 0;
        } catch (IOException e) {
            ended = true;
            reset = true;
        }
    }

    /**
     * Reads on after a last answer, so that no reset overtakes it, but not for ever: who has 60 MB to send would take the
     * time of the others.
     */
    private int drop(SocketChannel from) throws IOException {
        in.skip(in.size());
        int got = from.read(DROPPED.clear());
        dropped += Math.max(0, got);
        return dropped > MOST_DROPPED ? -1 : got;
    }

    /** A part of a message has come. */
    boolean partial() {
        return in.size() > 0 || reader.within();
    }

    /** Puts a message in to be written; false where there is no room for it, and then nothing of it is sent. */
    boolean add(Message message) {
        byte[] head = message.head();
        unsent = !out.fits(head.length + message.body().length);
        if (!unsent) {
            out.add(head);
            out.add(message.body());
        }
        return !unsent;
    }

    boolean written() {
        return connected && !unsent && out.size() == 0;
    }

    /** Hands the ring's bytes to the transport, run by run; its queue takes over where the socket is full. */
    void flush() {
        if (writing || out.size() == 0) {
            return;
        }
        TCPNIOTransport transport = (TCPNIOTransport) connection.getTransport();
        Buffer run = Buffers.wrap(transport.getMemoryManager(), out.run());
        int size = run.remaining();
        writing = true;
        transport.getAsyncQueueIO().getWriter().write(connection, run,
                new EmptyCompletionHandler<WriteResult<WritableMessage, SocketAddress>>() {
                    @Override
                    public void completed(WriteResult<WritableMessage, SocketAddress> result) {
                        writing = false;
                        out.skip(size);
                        flush();
                        if (closing && out.size() == 0) {
                            endSending();
                        }
                    }

                    @Override
                    public void failed(Throwable broken) {
                        close(); // what is left in the ring says how far it came
                    }
                });
    }

    /** Ends our sending; the other side then closes. Closing at once could destroy what it has not read yet. */
    private void endSending() {
        try {
            ((SocketChannel) connection.getChannel()).shutdownOutput();
        } catch (IOException gone) {
            close();
        }
    }

    /** After its close was told to all: its room goes to others. */
    void free() {
        in.free();
        out.free();
    }

    void close() {
        connection.terminateSilently();
    }
}
