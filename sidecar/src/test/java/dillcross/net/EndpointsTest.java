package dillcross.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.Logic;
import dillcross.model.Category;
import dillcross.model.ColdRule;
import dillcross.model.Effect;
import dillcross.model.Endpoint;
import dillcross.model.Goal;
import dillcross.model.Group;
import dillcross.model.ListRule;
import dillcross.model.PushRule;
import dillcross.sidecar.Core;
import dillcross.sidecar.Listed;
import dillcross.sidecar.Order;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Connections to endpoints between two lines: a clock and a wire that the test moves, so that each crossing is exact. */
class EndpointsTest {
    private static final String OK = "HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nok";

    /** A connection whose other side is the test. */
    private static final class Line implements Wire {
        private final StringBuilder came = new StringBuilder();
        private final StringBuilder written = new StringBuilder();
        private Network.Asker asker;
        private Network.Ear ear;
        private boolean open = true;
        private boolean ended;

        void up() {
            asker.up();
        }

        void brings(String text) {
            came.append(text);
            ear.readable();
        }

        void breaks() {
            close();
        }

        int requests() {
            return written.toString().split("HTTP/1.1\r\n", -1).length - 1;
        }

        @Override
        public int read(ByteBuffer into) {
            int count = Math.min(into.remaining(), came.length());
            into.put(came.substring(0, count).getBytes(StandardCharsets.ISO_8859_1));
            came.delete(0, count);
            return count == 0 && ended ? -1 : count;
        }

        @Override
        public void write(ByteBuffer run, Sent done) {
            written.append(StandardCharsets.ISO_8859_1.decode(run));
            done.sent();
        }

        @Override
        public void tells(boolean now) {
            // the test tells of all
        }

        @Override
        public void again() {
            // likewise
        }

        @Override
        public void endSending() {
            // nobody waits for it
        }

        @Override
        public void cuts() {
            // nothing is on its way
        }

        @Override
        public boolean isOpen() {
            return open;
        }

        @Override
        public void close() {
            if (open) {
                open = false;
                ear.closed();
            }
        }
    }

    private final List<Line> lines = new ArrayList<>();
    private final Network network = new Network() {
        @Override
        public void connect(InetSocketAddress to, Asker asker) {
            Line line = new Line();
            lines.add(line);
            line.asker = asker;
            line.ear = asker.opening(line);
        }

        @Override
        public void start(Turns turns) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void wake() {
            throw new UnsupportedOperationException();
        }

        @Override
        public Entrance bind(InetSocketAddress at, Taker taker) {
            throw new UnsupportedOperationException();
        }

        @Override
        public boolean inherits() {
            return false;
        }

        @Override
        public Datagrams datagrams(InetSocketAddress at, int most, Hearer hearer) throws IOException {
            throw new IOException("none here");
        }
    };
    private long now = 1_000_000;
    private final Core core = new Core(new Logic(1, "east", 0, 1, List.of(category("read", Effect.REDELIVERABLE), category("once", Effect.AT_MOST_ONCE)),
            List.of(), new ColdRule(0.3, 1_000_000, 3, 1_000_000), new PushRule(3, true, true), false, new ListRule(false, 10_000_000, false, false), 0, 0,
            new Goal(0, 0)));
    private final Endpoints endpoints = new Endpoints(network, core, () -> now, 100, 1 << 20, new Budget(1 << 20));
    private final List<Order> answers = new ArrayList<>();

    EndpointsTest() {
        endpoints.limits(1_000_000, 10_000_000);
        tell("a");
    }

    private void tell(String... ids) {
        core.list(now, 1, false, java.util.Arrays.stream(ids).map(id -> new Listed(new Endpoint(id, Endpoint.Health.UP, 0, 1, "east", 1), "127.0.0.1:1")).toList(), false);
    }

    private static Category category(String name, Effect effect) {
        return new Category(name, effect, Group.ALL, 0, 20_000_000, 1, 1);
    }

    private void arrive(String category) {
        core.arrive(now, "client", Message.request("GET", "/" + category, Map.of("host", "a"), Message.NOTHING), null, category, 5_000_000, false, false);
        turn();
    }

    private void turn() {
        do {
            for (Order order; (order = core.next(now)) != null;) {
                if (order instanceof Order.Push push) {
                    endpoints.push(push);
                } else if (order instanceof Order.GiveUp giveUp) {
                    endpoints.giveUp(giveUp);
                } else {
                    answers.add(order);
                }
            }
        } while (endpoints.sendUp());
    }

    private void pass(long us) {
        now += us;
        turn();
    }

    /** A second answer may come milliseconds behind the first: until then nothing goes out on that connection that it could answer. */
    @Test
    void aConnectionThatHasJustAnsweredIsNotUsed() {
        arrive("read");
        lines.get(0).up();
        turn();
        lines.get(0).brings(OK);
        turn();
        pass(4_000);
        arrive("read");
        assertEquals(2, lines.size(), "no request goes where a late answer may still come");
        lines.get(0).brings(OK);
        assertFalse(lines.get(0).isOpen(), "it was nobody's");
        lines.get(1).up();
        turn();
        lines.get(1).brings(OK);
        turn();
        pass(10_000);
        arrive("read");
        assertEquals(2, lines.size(), "one that has rested is used again");
        assertEquals(2, lines.get(1).requests());
    }

    /** What is gathered in a turn counts for all of it, also what comes after the connection did. */
    @Test
    void nothingIsSentBeforeAllOfTheTurnIsRead() {
        arrive("read");
        lines.get(0).up();
        core.list(now, 2, false, List.of(new Listed(new Endpoint("a", Endpoint.Health.DRAINING, 0, 1, "east", 1), "127.0.0.1:1")), false);
        turn();
        assertEquals(0, lines.get(0).requests());
    }

    /** It breaks, or speaks, before its request was handed over: that never ran, so an at-most-once op goes elsewhere. */
    @ParameterizedTest
    @EnumSource(Early.class)
    void whatWasNotHandedOverNeverRan(Early early) {
        tell("b");
        arrive("once");
        lines.get(0).up();
        if (early == Early.BREAKS) {
            lines.get(0).breaks();
        } else {
            lines.get(0).brings(OK);
        }
        turn();
        assertEquals(0, lines.get(0).requests());
        assertTrue(answers.stream().noneMatch(o -> o instanceof Order.Ack || o instanceof Order.DeadLetter), "" + answers);
        assertEquals(2, lines.size(), "another endpoint is asked");
    }

    private enum Early { BREAKS, SPEAKS }

    /** A turn that broke after the core counted a push as out: its end is reported all the same, once that is asked for. */
    @Test
    void aPushThatNeverCameHereIsOverWhenItIsGivenUp() {
        core.arrive(now, "client", Message.request("GET", "/read", Map.of("host", "a"), Message.NOTHING), null, "read", 5_000_000, false, false);
        while (!(core.next(now) instanceof Order.Push)) {
            // and that order is lost
        }
        pass(5_000_000);
        pass(50_000);
        assertEquals(0, core.held(), "nothing is kept of it");
        assertEquals(1, answers.size(), "" + answers);
    }
}
