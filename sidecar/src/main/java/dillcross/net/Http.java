package dillcross.net;

import java.nio.charset.StandardCharsets;

/** Bytes of the rings to messages and back. One message at a time goes up; the next waits in the ring. */
final class Http {
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final int NO_MEMORY = 503; // nothing of it has gone further, so another try is harmless

    private Http() {
    }

    /** Takes on what has come on a link, and hands its part a message if that makes one. */
    static void read(Link link, boolean server) {
        if (link.reader.flows() && !link.closing) {
            if (server && link.ended) {
                link.close(); // a client that closes has gone, and the rest of what it asked for goes no further
                return;
            }
            came(link, server); // a client's time begins with its last byte, not when an endpoint takes that
            if (link.source != null) {
                link.source.pump();
            }
            link.hold();
            return;
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
                link.part.message(link, message, fault);
                came(link, server);
                return;
            }
        }
        if (link.ended || link.full() && !busy) {
            link.close();
        } else if (busy) {
            link.hold();
        }
    }

    private static void came(Link link, boolean server) {
        if (server && link.reader.restCame(link.in)) {
            link.part.came(link);
        }
    }

    /** Sends a message; where there is no room for it nothing of it is sent and the link closes. */
    static void write(Link link, Message message) {
        if (link.add(message)) {
            link.flush();
        } else {
            link.close();
        }
    }
}
