package dillcross.sidecar;

import dillcross.Logic;
import dillcross.model.Decision;
import dillcross.model.Endpoint;
import dillcross.model.Outcome;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.ObjLongConsumer;

/**
 * One sidecar without I/O and without a clock: turns what the network tells into calls of the module, and the module's
 * decisions into orders for the network. Inputs only note; then pull {@link #next} until it is null. It decides nothing
 * itself: it keeps time for the module, and remembers which client waits for which op.
 */
public final class Core {
    private static final long LOST_US = 10_000; // after its TTL, an op that the module did not answer
    private static final long QUICK_WATCH_US = 100_000; // a list that answers at once, again and again, must not spin

    /** One push that is out. */
    private static final class Push {
        long sentUs; // or, where it went out before, when its op had come whole
        long begunUs; // when its answer began to be passed on; 0 while it has not
        final Listed to; // as the list had it then
        boolean late; // given up because its time was over
        boolean ended;

        Push(long sentUs, Listed to) {
            this.sentUs = sentUs;
            this.to = to;
        }
    }

    /** One op, kept until it is answered and none of its pushes is out. */
    private static final class Op {
        final Object client;
        final Object content;
        final long ttlUs;
        long endUs; // Long.MAX_VALUE while its content still comes: a client's time counts from its last byte
        boolean again = true; // all of its content can still be pushed
        Push begun; // whose answer is being passed on, and none but that
        final List<Push> pushes = new ArrayList<>(2);
        int out;
        boolean over;

        Op(Object client, Object content, long ttlUs) {
            this.client = client;
            this.content = content;
            this.ttlUs = ttlUs;
        }

        boolean coming() {
            return endUs == Long.MAX_VALUE;
        }
    }

    /** Something that is due: a push or all of an op's to give up, the module to wake, the list to watch again. */
    private record Timer(long dueUs, long order, What what, long op, int push) { }

    private enum What { PUSH_ENDS, OP_ENDS, OP_LOST, WAKE, WATCH }

    private final Logic logic;
    private final Map<Long, Op> ops = new HashMap<>();
    private final Map<String, Listed> listed = new HashMap<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>((a, b) ->
            a.dueUs != b.dueUs ? Long.compare(a.dueUs, b.dueUs) : Long.compare(a.order, b.order));
    private final ArrayDeque<Order> ready = new ArrayDeque<>();
    private long order;
    private long lastOp;
    private long version;
    private long askedUs;
    private boolean heard;

    public Core(Logic logic) {
        this.logic = logic;
    }

    // ---- Inputs

    /** New settings for the module, which is told by the caller; nothing that is kept here depends on them. */
    public void settings(long nowUs, ObjLongConsumer<Logic> teller) {
        teller.accept(logic, nowUs);
    }

    /** News of the list; {@code watched} where a watch brought it, which then goes on. */
    public void list(long nowUs, long newVersion, boolean whole, List<Listed> told, boolean watched) {
        boolean older = !whole && newVersion < version; // its numbering began anew, or it comes from before what is held:
        version = older ? 0 : newVersion; // ask for the whole list, as what it says may undo a drain
        take(nowUs, whole, older ? List.of() : told);
        heard |= watched;
        if (watched) {
            timer(told.isEmpty() ? Math.max(nowUs, askedUs + QUICK_WATCH_US) : nowUs, What.WATCH, 0, 0);
        }
    }

    /** News from where the list was before it moved, and has not answered yet; the numbers there say nothing here. */
    public void formerList(long nowUs, boolean whole, List<Listed> entries) {
        take(nowUs, whole, entries);
    }

    private void take(long nowUs, boolean whole, List<Listed> entries) {
        List<Endpoint> endpoints = new ArrayList<>(entries.size());
        for (Listed entry : entries) {
            Endpoint now = entry.endpoint();
            Listed before = now.health() == Endpoint.Health.UP ? listed.put(now.id(), entry) : null;
            if (before != null && !before.isStill(entry)) {
                ready.add(new Order.Forget(now.id()));
            }
            endpoints.add(now);
        }
        logic.list(nowUs, whole, endpoints);
        List<String> gone = listed.keySet().stream().filter(id -> !logic.knows(id)).sorted().toList();
        gone.forEach(id -> ready.add(new Order.Forget(id))); // or each deploy would leave its old endpoints here
        listed.keySet().removeAll(gone);
    }

    /** The list is told from elsewhere now: all of it is asked for at once, as its numbers there may be others. */
    public void listMoved(long nowUs) {
        version = 0;
        logic.list(nowUs, false, List.of()); // what failed elsewhere is no reason to wait long here
        timer(nowUs, What.WATCH, 0, 0);
    }

    /** Whether a watch has brought the list. */
    public boolean heard() {
        return heard;
    }

    /** The list can't be had, or a watch of it broke; it is asked again after that time at the most, times 0.5 to 1.5. */
    public void listFailed(long nowUs, long pauseUs) {
        logic.listFailed(nowUs, pauseUs);
    }

    /**
     * A client asks; the number by which its op is known from here on. Where it still {@code comes}, {@link #came} is called
     * with its last byte.
     */
    public long arrive(long nowUs, Object client, Object content, String tenant, String category, long ttlUs,
            boolean repeat, boolean comes) {
        long id = ++lastOp;
        Op op = new Op(client, content, ttlUs);
        ops.put(id, op);
        op.endUs = comes ? Long.MAX_VALUE : nowUs + ttlUs;
        logic.arrive(nowUs, id, tenant, category, ttlUs, repeat);
        if (comes) {
            logic.content(nowUs, id, false, true);
        } else {
            timer(op.endUs, What.OP_ENDS, id, 0);
        }
        return id;
    }

    /** A part of an op's content was let go: what is out can't be followed by another push. */
    public void letGo(long nowUs, long id) {
        Op op = ops.get(id);
        if (op != null && op.again) {
            op.again = false;
            logic.content(nowUs, id, false, false);
        }
    }

    /** The last byte of an op's content has come. */
    public void came(long nowUs, long id) {
        Op op = ops.get(id);
        if (op != null && op.coming()) {
            op.endUs = nowUs + op.ttlUs;
            op.pushes.stream().filter(push -> !push.ended).forEach(push -> push.sentUs = nowUs);
            logic.content(nowUs, id, true, op.again);
            timer(op.endUs, What.OP_ENDS, id, 0);
        }
    }

    /** Nobody has taken anything of an op's content for as long as it may take at all: what is out of it is given up. */
    public void stuck(long nowUs, long id) {
        Op op = ops.get(id);
        for (int i = 0; op != null && i < op.pushes.size(); i++) {
            giveUp(id, op, i, true);
        }
    }

    /** The first bytes of a push's answer are there, and more will come; false where nobody wants it any more. */
    public boolean begun(long nowUs, long id, int number, Object content) {
        Op op = ops.get(id);
        Push push = op == null ? null : op.pushes.get(number);
        if (push == null || push.ended || op.over || op.begun != null || op.coming()) {
            return false;
        }
        op.begun = push;
        push.begunUs = nowUs;
        logic.streaming(nowUs, id, number);
        ready.add(new Order.Pass(op.client, content));
        return true;
    }

    /** The client has gone. */
    public void left(long nowUs, long id) {
        Op op = ops.get(id);
        if (op != null && !op.over) {
            logic.left(nowUs, id);
            giveUp(id, op, op.pushes.indexOf(op.begun), false); // the module leaves an answer that has begun to the client
            over(id, op);
        }
    }

    /** A push has ended on the network. */
    public void ended(long nowUs, long id, int number, Ending ending) {
        Op op = ops.get(id);
        Push push = op == null ? null : op.pushes.get(number);
        if (push == null || push.ended) {
            return;
        }
        push.ended = true;
        op.out--;
        Outcome outcome = ending.outcome(push.late);
        boolean passedOn = outcome == Outcome.ACKED || outcome == Outcome.REJECTED; // the endpoint's own word is final
        if (op.begun == push && !op.over) {
            ready.add(new Order.Passed(op.client, outcome == Outcome.ACKED));
            op.over = true;
        } else if (passedOn && !op.over && op.begun == null) {
            ready.add(outcome == Outcome.ACKED ? new Order.Ack(op.client, ending.content())
                    : new Order.Reject(op.client, ending.content()));
            op.over = true;
        }
        long untilUs = push.begunUs > 0 ? push.begunUs : nowUs; // how long the rest took is the client's doing as well
        logic.ended(nowUs, id, number, outcome, untilUs - push.sentUs, op.over);
        if (op.over && op.out == 0) {
            ops.remove(id);
        }
    }

    /**
     * Whether a push that had to wait for its connection may still be sent: its op may have been answered meanwhile or its
     * time be over, its endpoint may drain, be at another address, or be another process there, which is cold. What belongs to
     * no op is not the core's to hold back.
     */
    public boolean sendable(long nowUs, long id, int number) {
        Op op = ops.get(id);
        Listed to = op == null ? null : op.pushes.get(number).to;
        return op == null || !op.over && nowUs < op.endUs && to.isStill(listed.get(to.endpoint().id()));
    }

    /** When the next timer is due; a network with nothing to tell must call {@link #next} by then. */
    public long dueUs() {
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueUs;
    }

    /** Ops that wait for their answer. */
    public long open() {
        return ops.values().stream().filter(op -> !op.over).count();
    }

    /** Ops that are kept: open ones, and those that are over with a push still out. */
    public int held() {
        return ops.size();
    }

    /** Timers that are set; those of an op that is over go when they are due. */
    public int timers() {
        return timers.size();
    }

    // ---- Orders

    /** The next thing to carry out, or null when there is none. */
    public Order next(long nowUs) {
        while (ready.isEmpty()) {
            Timer due = timers.peek();
            if (due != null && due.dueUs <= nowUs) {
                timers.poll();
                fire(nowUs, due);
            } else {
                Decision decision = logic.next();
                if (decision == null) {
                    return null;
                }
                carryOut(nowUs, decision);
            }
        }
        return ready.poll();
    }

    private void fire(long nowUs, Timer due) {
        Op op = ops.get(due.op);
        switch (due.what) {
            case WAKE -> logic.woken(nowUs);
            case WATCH -> watch(nowUs);
            case PUSH_ENDS -> giveUp(due.op, op, due.push, true);
            case OP_LOST -> {
                if (op != null && !op.over && op.begun == null) { // a fault in the module must not leave a client without an answer
                    ready.add(new Order.DeadLetter(op.client));
                    logic.left(nowUs, due.op);
                    over(due.op, op);
                }
            }
            case OP_ENDS -> {
                for (int i = 0; op != null && i < op.pushes.size(); i++) {
                    giveUp(due.op, op, i, true);
                }
                if (op != null && !op.over) {
                    timer(due.dueUs + LOST_US, What.OP_LOST, due.op, 0);
                }
            }
        }
    }

    private void watch(long nowUs) {
        askedUs = nowUs;
        ready.add(new Order.Watch(version));
    }

    private void giveUp(long id, Op op, int number, boolean late) {
        if (op != null && number >= 0 && number < op.pushes.size() && !op.pushes.get(number).ended
                && !(late && op.pushes.get(number) == op.begun)) { // what is being passed on has no limit any more
            op.pushes.get(number).late = late;
            ready.add(new Order.GiveUp(id, number));
        }
    }

    private void carryOut(long nowUs, Decision decision) {
        Op op = ops.get(decision.op());
        boolean known = op != null && (!op.over || decision.kind() == Decision.Kind.CANCEL);
        boolean general = switch (decision.kind()) {
            case LISTEN, WAKE, RELEASE -> true;
            default -> false;
        };
        if (!known && !general) {
            return;
        }
        switch (decision.kind()) {
            case PUSH -> {
                boolean limited = !op.coming() && decision.us() > 0 && decision.us() < op.endUs;
                long untilUs = limited ? decision.us() : op.coming() ? nowUs + op.ttlUs : op.endUs;
                int number = op.pushes.size();
                Listed to = listed.get(decision.endpoint());
                op.pushes.add(new Push(nowUs, to));
                op.out++;
                if (limited) {
                    timer(untilUs, What.PUSH_ENDS, decision.op(), number);
                }
                ready.add(new Order.Push(decision.op(), number, op.client, decision.endpoint(), to.address(), op.content, untilUs));
            }
            case NACK -> {
                ready.add(new Order.Nack(op.client, decision.us()));
                over(decision.op(), op);
            }
            case DEAD_LETTER -> {
                ready.add(new Order.DeadLetter(op.client));
                over(decision.op(), op);
            }
            case CANCEL -> giveUp(decision.op(), op, decision.push(), false);
            case RELEASE -> ready.add(new Order.Forget(decision.endpoint()));
            case LISTEN -> watch(nowUs);
            case WAKE -> timer(nowUs + decision.us(), What.WAKE, 0, 0);
        }
    }

    private void over(long id, Op op) {
        op.over = true;
        if (op.out == 0) {
            ops.remove(id);
        }
    }

    private void timer(long dueUs, What what, long op, int push) {
        timers.add(new Timer(dueUs, order++, what, op, push));
    }
}
