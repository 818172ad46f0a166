package dillcross.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dillcross.Logic;
import dillcross.model.Category;
import dillcross.model.ColdRule;
import dillcross.model.Effect;
import dillcross.model.Endpoint;
import dillcross.model.Endpoint.Health;
import dillcross.model.Goal;
import dillcross.model.Group;
import dillcross.model.ListRule;
import dillcross.model.PushRule;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class CoreTest {
    private static final long TTL_US = 500_000;
    private final Core core = new Core(new Logic(1, "east", 0, 1, List.of(
            new Category("buy", Effect.DEDUPLICATED, Group.CELL, 2_000_000, 400_000, 1, 1),
            new Category("read", Effect.REDELIVERABLE, Group.ALL, 0, 400_000, 1, 1),
            new Category("once", Effect.AT_MOST_ONCE, Group.ALL, 0, 400_000, 1, 1)), List.of(),
            new ColdRule(0.3, 1_000_000, 3, 1_000_000), new PushRule(3, true, true), false,
            new ListRule(true, 10_000_000, false, false), 1_000_000, 0, new Goal(0, 0)));
    private long now = 1_000_000_000;
    private Reach reach = Reach.WHOLE_WRITTEN; // of a push that the core gives up
    private boolean restless; // the network reports a given-up push at once, unless this is set

    private static Listed listed(String id, Health health, String address) {
        return new Listed(new Endpoint(id, health, 0, 1, "east", 1), address);
    }

    private List<Order> pull() {
        List<Order> orders = new ArrayList<>();
        for (Order order; (order = core.next(now)) != null;) {
            orders.add(order);
            if (order instanceof Order.GiveUp up && !restless) {
                core.ended(now, up.op(), up.push(), new Ending(Ending.Kind.GIVEN_UP, reach, null));
            }
        }
        return orders;
    }

    private List<Order> pass(long us) {
        List<Order> orders = pull();
        for (long end = now + us; core.dueUs() <= end;) {
            now = Math.max(now, core.dueUs());
            orders.addAll(pull());
        }
        return orders;
    }

    private Order.Push push(String category) {
        core.arrive(now, "client", "content", null, category, TTL_US, false, false);
        return pull().stream().filter(o -> o instanceof Order.Push).map(o -> (Order.Push) o).findFirst().orElseThrow();
    }

    private static <T extends Order> List<T> only(Class<T> kind, List<Order> orders) {
        return orders.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    private static String answers(List<Order> orders) {
        return String.join(" ", orders.stream().filter(o -> !(o instanceof Order.Push || o instanceof Order.GiveUp
                || o instanceof Order.Watch || o instanceof Order.Forget)).map(o -> o.getClass().getSimpleName()).toList());
    }

    /** Each row of the protocol's outcomes: what never ran may be tried again by the client, what may have run not. */
    @ParameterizedTest
    @CsvSource({"buy,ACKED,WHOLE_WRITTEN,Ack", "buy,ERROR,WHOLE_WRITTEN,DeadLetter", "buy,TURNED_AWAY,WHOLE_WRITTEN,Nack",
        "buy,BROKEN,NOT_CONNECTED,Nack", "buy,NOT_SENT,NOT_CONNECTED,Nack", "buy,BROKEN,PARTLY_WRITTEN,Nack", "buy,BROKEN,WHOLE_WRITTEN,DeadLetter",
        "once,ERROR,WHOLE_WRITTEN,DeadLetter", "once,TURNED_AWAY,WHOLE_WRITTEN,Nack",
        "once,BROKEN,PARTLY_WRITTEN,Nack", "once,BROKEN,WHOLE_WRITTEN,DeadLetter",
        "read,ACKED,WHOLE_WRITTEN,Ack", "read,REJECTED,WHOLE_WRITTEN,Reject", "buy,REJECTED,WHOLE_WRITTEN,Reject", "read,ERROR,WHOLE_WRITTEN,Nack", "read,BROKEN,WHOLE_WRITTEN,Nack"})
    void eachOutcomeGetsItsAnswer(String category, Ending.Kind kind, Reach came, String answer) {
        core.list(now, 1, true, List.of(listed("a", Health.UP, "h:1")), false);
        Order.Push push = push(category);
        core.ended(now += 10_000, push.op(), push.push(), new Ending(kind, came, "body"));
        List<Order> orders = pull();
        assertEquals(answer, answers(orders), orders::toString);
        only(Order.Ack.class, orders).forEach(a -> assertEquals(new Order.Ack("client", "body"), a));
        assertEquals("", answers(pass(5_000_000)), "one final answer only");
        assertEquals(0, core.open());
    }

    @ParameterizedTest
    @CsvSource({"buy,WHOLE_WRITTEN,DeadLetter", "buy,PARTLY_WRITTEN,Nack", "buy,NOT_CONNECTED,Nack", "once,WHOLE_WRITTEN,DeadLetter",
        "once,PARTLY_WRITTEN,Nack", "read,WHOLE_WRITTEN,Nack"})
    void whatIsOutAtItsTtlIsGivenUpAndAnswered(String category, Reach came, String answer) {
        reach = came;
        core.list(now, 1, true, List.of(listed("a", Health.UP, "h:1")), false);
        long endUs = now + TTL_US;
        Order.Push push = push(category);
        assertEquals(endUs, push.untilUs());
        assertEquals(answer, answers(pass(TTL_US)));
        assertEquals(endUs, now, "at its TTL, not later");
    }

    /** A network that does not even report must not leave a client without an answer. */
    @Test
    void anOpThatNothingAnswersIsDeadLettered() {
        restless = true;
        core.list(now, 1, true, List.of(listed("a", Health.UP, "h:1")), false);
        push("buy");
        assertEquals("DeadLetter", answers(pass(TTL_US + 50_000)));
        assertEquals(0, core.open());
    }

    /** An answer that has begun is passed on past the TTL, answered once, and how it ended is told; FORGET is the client leaving. */
    @ParameterizedTest
    @CsvSource({"ACKED,Pass Passed,true", "BROKEN,Pass Passed,false", "GIVEN_UP,Pass,false"})
    void anAnswerThatHasBegunHasNoLimit(Ending.Kind end, String answers, boolean whole) {
        core.list(now, 1, true, List.of(listed("a", Health.UP, "h:1")), false);
        Order.Push push = push("read");
        assertTrue(core.begun(now += 10_000, push.op(), push.push(), "head"));
        assertFalse(core.begun(now, push.op(), push.push(), "head"), "once");
        List<Order> orders = pass(20 * TTL_US);
        assertEquals(0, only(Order.GiveUp.class, orders).size());
        assertEquals(1, core.open());
        if (end == Ending.Kind.GIVEN_UP) {
            core.left(now, push.op());
        } else {
            core.ended(now, push.op(), push.push(), new Ending(end, Reach.WHOLE_WRITTEN, "head"));
        }
        orders.addAll(pass(TTL_US));
        assertEquals(answers, answers(orders));
        only(Order.Passed.class, orders).forEach(p -> assertEquals(whole, p.whole()));
        assertEquals(0, core.open());
    }

    /** While its content comes an op has no TTL; what nobody takes is given up all the same. */
    @Test
    void theTtlCountsFromTheLastByte() {
        core.list(now, 1, true, List.of(listed("a", Health.UP, "h:1")), false);
        long op = core.arrive(now, "client", "content", null, "buy", TTL_US, false, true);
        assertEquals("", answers(pass(10 * TTL_US)), "not while it comes");
        core.letGo(now, op);
        core.came(now, op);
        long from = now;
        assertEquals("DeadLetter", answers(pass(TTL_US)));
        assertEquals(from + TTL_US, now);
        reach = Reach.PARTLY_WRITTEN;
        long stuck = core.arrive(now, "client", "content", null, "buy", TTL_US, false, true);
        pull();
        core.letGo(now, stuck);
        core.stuck(now, stuck);
        assertEquals("Nack", answers(pull()));
    }

    @Test
    void aClientThatLeftIsOwedNothing() {
        core.list(now, 1, true, List.of(listed("a", Health.UP, "h:1")), false);
        Order.Push push = push("buy");
        core.left(now, push.op());
        List<Order> orders = pull();
        assertEquals(1, only(Order.GiveUp.class, orders).size(), "its push is called back");
        assertEquals("", answers(orders) + answers(pass(TTL_US)));
        core.ended(now, push.op(), push.push(), new Ending(Ending.Kind.ACKED, Reach.WHOLE_WRITTEN, "late"));
        assertEquals("", answers(pull()), "nor what comes late");
    }

    /** The id is who it is; the address is where it is now. */
    @Test
    void anEndpointIsPushedToWhereTheListLastSaid() {
        core.list(now, 1, true, List.of(listed("a", Health.UP, "h:1")), false);
        assertEquals("h:1", push("read").address());
        core.list(now, 2, false, List.of(listed("a", Health.UP, "h:2")), false);
        assertEquals("h:2", push("read").address());
    }

    /** Nothing that is open to an endpoint outlives it: not to another at its address, not to its next process. */
    @ParameterizedTest
    @CsvSource({"a,UP,h:1,0,false,''", "a,UP,h:1,0,true,''", "a,UP,h:2,0,false,a", "a,DRAINING,h:1,0,false,a", "a,GONE,h:1,0,false,a", "a,UP,h:1,5,false,a",
        "b,UP,h:1,0,false,''", "b,UP,h:1,0,true,a"})
    void whatLeavesMovesOrBeginsAnewIsForgotten(String id, Health health, String address, long startedUs, boolean whole, String forgotten) {
        core.list(now, 1, true, List.of(listed("a", Health.UP, "h:1")), false);
        pull();
        core.list(now, 2, whole, List.of(new Listed(new Endpoint(id, health, startedUs, 1, "east", 1), address)), false);
        assertEquals(forgotten, String.join(" ", only(Order.Forget.class, pull()).stream().map(Order.Forget::endpoint).toList()));
    }

    @Test
    void aWatchGoesOnAfterEachAnswer() {
        core.list(now, 7, true, List.of(listed("a", Health.UP, "h:1")), false);
        assertEquals(List.of(new Order.Watch(7)), only(Order.Watch.class, pass(4_000_000)), "the module asks once");
        core.list(now, 8, false, List.of(listed("b", Health.UP, "h:2")), true);
        long told = now;
        assertEquals(List.of(new Order.Watch(8)), only(Order.Watch.class, pass(200_000)), "and then it goes on");
        assertTrue(now - told <= 200_000);
        core.list(now, 3, false, List.of(), true);
        assertEquals(List.of(new Order.Watch(0)), only(Order.Watch.class, pass(200_000)), "numbers that began anew");
    }

    /** An answer from before what is held, or of numbers that began anew, must not bring back what drains. */
    @Test
    void anOlderAnswerUndoesNoDrain() {
        core.list(now, 1, true, List.of(listed("a", Health.UP, "h:1"), listed("b", Health.UP, "h:2")), false);
        pass(4_000_000);
        core.list(now, 9, false, List.of(listed("a", Health.DRAINING, "h:1")), true);
        pass(200_000);
        core.list(now, 8, false, List.of(listed("a", Health.UP, "h:1")), true);
        assertEquals(List.of(new Order.Watch(0)), only(Order.Watch.class, pass(200_000)), "all of it is asked for");
        for (int i = 0; i < 20; i++) {
            Order.Push push = push("read");
            assertEquals("b", push.endpoint());
            core.ended(now, push.op(), push.push(), new Ending(Ending.Kind.ACKED, Reach.WHOLE_WRITTEN, "answer"));
        }
    }

    @Test
    void aListThatMovedIsAskedForWholeAndAtOnce() {
        core.list(now, 7, true, List.of(listed("a", Health.UP, "h:1")), false);
        pass(4_000_000);
        core.listMoved(now);
        assertEquals(List.of(new Order.Watch(0)), only(Order.Watch.class, pull()));
        core.list(now, 3, true, List.of(listed("a", Health.UP, "h:1")), true);
        assertEquals(List.of(new Order.Watch(3)), only(Order.Watch.class, pass(200_000)), "and its own numbers hold");
    }

    @Test
    void aListThatAnswersAtOnceAgainAndAgainDoesNotSpin() {
        core.list(now, 1, true, List.of(listed("a", Health.UP, "h:1")), false);
        pass(4_000_000);
        int asked = 0;
        for (long end = now + 1_000_000; now < end; asked++) {
            core.list(now, 1, false, List.of(), true);
            assertFalse(only(Order.Watch.class, pass(200_000)).isEmpty());
        }
        assertTrue(asked <= 11, () -> "asked too often");
    }

    /** A push may wait for its connection: what came meanwhile can forbid it. */
    @Test
    void whatWaitedForItsConnectionIsLookedAtAgain() {
        core.list(now, 1, true, List.of(listed("a", Health.UP, "h:1")), false);
        Order.Push push = push("read");
        assertTrue(core.sendable(now, push.op(), push.push()));
        core.list(now, 2, false, List.of(listed("a", Health.DRAINING, "h:1")), false);
        assertFalse(core.sendable(now, push.op(), push.push()), "it drains");
        core.list(now, 3, false, List.of(listed("a", Health.UP, "h:1")), false);
        restless = true;
        core.left(now, push.op());
        assertFalse(core.sendable(now, push.op(), push.push()), "its op is over");
    }

    /** It was to go to that process at that place, and within the op's time. */
    @ParameterizedTest
    @CsvSource({"h:1,0,0,true", "h:2,0,0,false", "h:1,7,0,false", "h:1,0," + TTL_US + ",false"})
    void whatWaitedGoesToTheSameProcessInTimeOnly(String address, long startedUs, long laterUs, boolean sendable) {
        core.list(now, 1, true, List.of(listed("a", Health.UP, "h:1")), false);
        Order.Push push = push("read");
        core.list(now, 2, false, List.of(new Listed(new Endpoint("a", Health.UP, startedUs, 1, "east", 1), address)), false);
        assertEquals(sendable, core.sendable(now + laterUs, push.op(), push.push()));
    }

    @ParameterizedTest
    @EnumSource(value = Health.class, names = "UP", mode = EnumSource.Mode.EXCLUDE)
    void whatDrainsOrIsGoneGetsNothingNew(Health told) {
        core.list(now, 1, true, List.of(listed("a", Health.UP, "h:1"), listed("b", Health.UP, "h:2")), false);
        core.list(now, 2, false, List.of(listed("a", told, "h:1")), false);
        for (int i = 0; i < 20; i++) {
            Order.Push push = push("read");
            assertEquals("h:2", push.address());
            core.ended(now += 20_000, push.op(), push.push(), new Ending(Ending.Kind.ACKED, Reach.WHOLE_WRITTEN, ""));
            pull();
        }
    }

    /** Where only drains bind, the address of what the list drops is kept as long as the module may push there. */
    @ParameterizedTest
    @EnumSource(value = Health.class, names = "UP", mode = EnumSource.Mode.EXCLUDE)
    void whatAWrongListDropsServesOn(Health told) {
        core.settings(now, (logic, us) -> logic.settings(us, "east", 0, 1, List.of(new Category("read",
                Effect.REDELIVERABLE, Group.ALL, 0, 400_000, 1, 1)), List.of(), new ColdRule(0.3, 1_000_000, 3, 1_000_000),
                new PushRule(3, true, true), false, new ListRule(true, 10_000_000, true, false), 1_000_000, 0, new Goal(0, 0)));
        core.list(now, 1, true, List.of(listed("a", Health.UP, "h:1")), false);
        core.list(now, 2, false, List.of(listed("a", told, "h:1")), false);
        core.list(now, 3, true, List.of(), false);
        core.arrive(now, "client", "content", null, "read", TTL_US, false, false);
        assertEquals(told == Health.GONE ? List.of("h:1") : List.of(),
                only(Order.Push.class, pull()).stream().map(Order.Push::address).toList());
    }

    /** With new settings less is in use: the connections of what is not are let go. */
    @Test
    void whatIsNotInUseIsForgotten() {
        List<Listed> all = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            all.add(listed("e" + i, Health.UP, "h:" + i));
        }
        core.list(now, 1, true, all.subList(0, 1), false);
        push("read");
        core.settings(now, (logic, us) -> logic.settings(us, "east", 3, 100, List.of(new Category("read",
                Effect.REDELIVERABLE, Group.ALL, 0, 400_000, 1, 1)), List.of(), new ColdRule(0.3, 1_000_000, 3, 1_000_000),
                new PushRule(3, true, true), false, new ListRule(true, 10_000_000, false, true), 1_000_000, 0, new Goal(0, 0)));
        core.list(now, 2, false, all.subList(1, 8), false);
        List<Order> orders = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            core.arrive(now, "client", "op", null, "read", TTL_US, false, false);
            for (Order order : pull()) {
                orders.add(order);
                if (order instanceof Order.Push push) {
                    core.ended(now += 20_000, push.op(), push.push(), new Ending(Ending.Kind.ACKED, Reach.WHOLE_WRITTEN, ""));
                }
            }
            pass(200_000);
        }
        assertEquals(List.of("e0"), only(Order.Forget.class, orders).stream().map(Order.Forget::endpoint).distinct().toList());
    }
}
