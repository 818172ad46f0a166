package dillcross.net;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Collection;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
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
    private static final Attribute<Link> OF = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("dillcross.link");

    final NIOConnection connection;
    final Ring in;
    final Ring out;
    final Reader reader;
    Collection<Link> pooled; // where it waits while it is free
    Stream source; // that takes what comes in here; null while whole messages are read
    Stream sink; // that brings what goes out here
    boolean closesAfter; // ... and once it is over, to be closed
    long mayDrop = MOST_DROPPED;
    long movedUs; // when bytes were last seen to have come or gone
    private long moved; // how many did
    private long seen; // of them
    private boolean paused; // it reads nothing
    Object user; // the exchange that it carries; null while idle
    boolean connected;
    boolean ended; // nothing more comes from the other side
    boolean reset; // ... and what came may be cut short
    int asked; // whole requests that it brought
    private long dropped;
    boolean closing; // to be closed when all is written
    long idleUs; // since when it carries none
    long partialUs; // since when it holds a part of a message; 0 while it does not
    private boolean unsent; // there was no room for its last message
    private boolean writing;

    /** Of which messages come whole up to that size; larger ones, up to {@code most}, flow. */
    Link(NIOConnection connection, boolean requests, int whole, long most, Budget budget) {
        this.connection = connection;
        // The largest whole message, its framing, and what may come before it is read.
        in = new Ring(2 * whole, budget);
        out = new Ring(2 * Reader.WHOLE, budget);
        reader = new Reader(requests, whole, most);
        OF.set(connection, this);
    }

    static Link of(Connection<?> connection) {
        return OF.get(connection);
    }

    /** Reads what has come into the ring; the end of the other side's sending is noted, not thrown. */
    void fill() {
        SocketChannel from = (SocketChannel) connection.getChannel();
        try {
            int got = closing ? drop(from) : in.read(from, reader.flows() ? Stream.WINDOW : Integer.MAX_VALUE);
            moved += Math.max(0, got);
            ended |= got < 0;
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
        return dropped > mayDrop ? -1 : got;
    }

    /** Stops reading while what has come can't go on, or each select would tell of it again. */
    void hold() {
        boolean full = in.full() || reader.flows() && in.size() >= Stream.WINDOW;
        if (full || ended) {
            paused = true; // the transport may have enabled it again with an event of its own
            try {
                connection.disableIOEvent(IOEvent.READ);
            } catch (IOException gone) {
                close();
            }
        }
    }

    /** Reads on, now that there is room again. */
    void resume() {
        boolean behind = reader.flows() && in.size() > Stream.WINDOW / 2;
        if (paused && !ended && !in.full() && !behind) {
            paused = false;
            try {
                connection.enableIOEvent(IOEvent.READ);
            } catch (IOException gone) {
                close();
            }
        }
    }

    boolean paused() {
        return paused;
    }

    /** Notes whether bytes have come or gone since it was last asked. */
    void look(long nowUs) {
        if (moved != seen) {
            seen = moved;
            movedUs = nowUs;
        }
    }

    /** No more is to be written than what is in the ring; then it closes. */
    void finish() {
        closing = true;
        if (out.size() == 0 && !writing) {
            endSending();
        }
    }

    /** Its message was answered before it had come whole: what still comes is dropped. */
    void dropRest(long most) {
        mayDrop = most;
        closing = true;
        in.skip(in.size());
        resume();
    }

    /** Ends it so that the other side can't take what came for the whole. */
    void cut() {
        try {
            ((SocketChannel) connection.getChannel()).setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException gone) {
            closing = true;
        }
        close();
    }

    /** A part of a message has come. */
    boolean partial() {
        return in.size() > 0 || reader.within();
    }

    /** Puts a message in to be written; false where there is no room for it, and then nothing of it is sent. */
    boolean add(Message message) {
        unsent = !out.add(message.start());
        return !unsent;
    }

    boolean written() {
        return connected && !unsent && sink == null && out.size() == 0;
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
                        moved += size;
                        flush();
                        if (sink != null) {
                            sink.pump();
                        }
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
