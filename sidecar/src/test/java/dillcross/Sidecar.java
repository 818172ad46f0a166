package dillcross;

import dillcross.model.*;
import dillcross.model.Endpoint.Health;
import java.util.*;
import java.util.function.Predicate;

/** One sidecar under test: keeps its clock in milliseconds, its wakes, and what it has out. */
final class Sidecar {
    static final ColdRule COLD = new ColdRule(0.3, 8_000_000, 3, 1_500_000);
    static final PushRule PUSHES = new PushRule(4, true, true);

    static final List<Category> CATEGORIES = List.of(
            category("read", Effect.REDELIVERABLE, Group.ALL), category("cell", Effect.DEDUPLICATED, Group.CELL),
            category("zone", Effect.DEDUPLICATED, Group.ZONE), category("any", Effect.DEDUPLICATED, Group.ALL),
            category("once", Effect.AT_MOST_ONCE, Group.ALL));

    /** A push that is out. */
    record Sent(long op, int number, String endpoint, long atMs, long untilMs) {
    }

    final Logic logic;
    private final String zone;
    private final int me;
    private final int sidecars;
    final List<Sent> out = new ArrayList<>();
    final List<Sent> sent = new ArrayList<>();
    final Map<Long, Decision> answers = new HashMap<>();
    final List<Long> listens = new ArrayList<>();
    final List<String> released = new ArrayList<>();
    final Map<Long, Long> due = new HashMap<>(); // when the client gives up, which ends what is out
    final Map<Sent, Outcome> ends = new HashMap<>();
    final Map<Long, Integer> pushes = new HashMap<>();
    private final List<Long> wakes = new ArrayList<>();
    long nowMs = 1_000_000;
    boolean pushTimeOuts; // keeps those that the module asks for
    private final List<Sent> cancelled = new ArrayList<>();
    private long lastOp = 100;

    Sidecar(PushRule rule, boolean mustAsk, Tenant... tenants) {
        this(rule, mustAsk, "east", 0, 3, tenants);
    }

    Sidecar(PushRule rule, boolean mustAsk, String zone, int me, int sidecars, Tenant... tenants) {
        this(rule, mustAsk, false, zone, me, sidecars, tenants);
    }

    Sidecar(PushRule rule, boolean mustAsk, boolean goneStays, String zone, int me, int sidecars, Tenant... tenants) {
        this(new Goal(0, 0), CATEGORIES, rule, mustAsk, goneStays, zone, me, sidecars, tenants);
    }

    Sidecar(Goal goal, List<Category> categories, PushRule rule, boolean mustAsk, boolean goneStays, String zone, int me,
            int sidecars, Tenant... tenants) {
        this.zone = zone;
        this.me = me;
        this.sidecars = sidecars;
        logic = new Logic(7 + me, zone, me, sidecars, categories, List.of(tenants), COLD, rule, false,
                new ListRule(mustAsk, 10_000_000, goneStays, false), 1_000_000, 0.03, goal);
    }

    /** One of many in a large fleet, its zone one of three. */
    static Sidecar oneOf(int sidecars, int me, String... endpoints) {
        Sidecar s = new Sidecar(PUSHES, false, List.of("east", "west", "north").get(me % 3), me, sidecars);
        s.list(true, endpoints);
        return s;
    }

    static Sidecar with(String... endpoints) {
        Sidecar s = new Sidecar(PUSHES, false);
        s.list(true, endpoints);
        return s;
    }

    /** New settings for one that runs. */
    void settings(PushRule rule, boolean live, List<Category> categories) {
        logic.settings(nowMs * 1000, zone, me, sidecars, categories, List.of(), COLD, rule, false,
                new ListRule(false, 10_000_000, false, live), 1_000_000, 0.03, new Goal(0, 0));
        pull();
    }

    static Category category(String name, Effect effect, Group group) {
        return new Category(name, effect, group, 1_000_000, 400_000, 1, 1);
    }

    /** Endpoints as {@code id:health:cell:zone:startedMs:weight}, all but the id optional. */
    void list(boolean whole, String... endpoints) {
        List<Endpoint> entries = new ArrayList<>();
        for (String text : endpoints) {
            String[] p = text.split(":");
            entries.add(new Endpoint(p[0], p.length > 1 ? Health.valueOf(p[1]) : Health.UP,
                    p.length > 4 ? Long.parseLong(p[4]) * 1000 : 0, p.length > 2 ? Integer.parseInt(p[2]) : 1,
                    p.length > 3 ? p[3] : "east", p.length > 5 ? Double.parseDouble(p[5]) : 1));
        }
        logic.list(nowMs * 1000, whole, entries);
        pull();
    }

    long arrive(String category) {
        return arrive(category, null, 2000);
    }

    long arrive(String category, String tenant, long ttlMs) {
        long op = ++lastOp;
        due.put(op, nowMs + ttlMs);
        logic.arrive(nowMs * 1000, op, tenant, category, ttlMs * 1000, false);
        pull();
        return op;
    }

    /** An op whose content still comes, so that its client's time has not begun. */
    long coming(String category) {
        long op = ++lastOp;
        due.put(op, Long.MAX_VALUE);
        logic.arrive(nowMs * 1000, op, null, category, 2_000_000, false);
        content(op, false, true);
        return op;
    }

    void content(long op, boolean whole, boolean again) {
        logic.content(nowMs * 1000, op, whole, again);
        pull();
    }

    /** Ends the push; an ack ends its op with it. */
    void end(Sent push, Outcome outcome) {
        out.remove(push);
        ends.put(push, outcome);
        if (outcome == Outcome.ACKED || outcome == Outcome.CANCELLED) {
            answers.putIfAbsent(push.op(), Decision.deadLetter(-1)); // stands for the ack, or for a client gone
        }
        logic.ended(nowMs * 1000, push.op(), push.number(), outcome,
                (nowMs - push.atMs()) * 1000, answers.containsKey(push.op()));
        pull();
    }

    /** Ends every such push that is out now. */
    void endAll(Predicate<Sent> which, Outcome outcome) {
        out.stream().filter(which).toList().forEach(p -> end(p, outcome));
    }

    Sent of(long op) {
        return out.stream().filter(p -> p.op() == op).reduce((a, b) -> b).orElseThrow();
    }

    /** When its push time-out comes, or its client gives up. */
    private long ends(Sent push) {
        return pushTimeOuts && push.untilMs() > 0 ? Math.min(push.untilMs(), due.get(push.op())) : due.get(push.op());
    }

    /** Moves the clock on, waking the module where it asked for it. */
    void pass(long ms) {
        long until = nowMs + ms;
        while (true) {
            long next = Math.min(wakes.stream().mapToLong(w -> w).min().orElse(Long.MAX_VALUE),
                    out.stream().mapToLong(this::ends).min().orElse(Long.MAX_VALUE));
            nowMs = Math.min(until, Math.max(nowMs, next));
            if (next > until) {
                return;
            }
            endAll(p -> ends(p) <= nowMs, Outcome.TIMED_OUT);
            wakes.removeIf(w -> w <= nowMs);
            logic.woken(nowMs * 1000);
            pull();
        }
    }

    /** One op every so often, each answered 20 ms later; the endpoints that got one, with how many. */
    Map<String, Integer> thin(int ops, long everyMs) {
        Map<String, Integer> got = new HashMap<>();
        for (int i = 0; i < ops; i++) {
            arrive("read");
            pass(20);
            for (Sent p : List.copyOf(out)) {
                got.merge(p.endpoint(), 1, Integer::sum);
                end(p, Outcome.ACKED);
            }
            pass(everyMs - 20);
        }
        return got;
    }

    /** Sends ops that are each answered after a while; returns how many pushes the endpoint got. */
    long traffic(int ops, String endpoint) {
        int from = sent.size();
        for (int i = 0; i < ops; i++) {
            long op = arrive("read");
            pass(20);
            out.stream().filter(p -> p.op() == op).findFirst().ifPresent(p -> end(p, Outcome.ACKED));
        }
        return sent.subList(from, sent.size()).stream().filter(p -> p.endpoint().equals(endpoint)).count();
    }

    /** Sends ops two at a time, both answered after a while; returns how many pushes the endpoint got. */
    long pairs(int pairs, String endpoint) {
        int from = sent.size();
        for (int i = 0; i < pairs; i++) {
            List<Long> two = List.of(arrive("read"), arrive("read"));
            pass(20);
            endAll(p -> two.contains(p.op()), Outcome.ACKED);
        }
        return sent.subList(from, sent.size()).stream().filter(p -> p.endpoint().equals(endpoint)).count();
    }

    /** Takes every decision that is ready. */
    void pull() {
        for (Decision next; (next = logic.next()) != null;) {
            Decision d = next;
            switch (d.kind()) {
                case PUSH -> {
                    Sent push = new Sent(d.op(), pushes.merge(d.op(), 1, Integer::sum) - 1, d.endpoint(), nowMs,
                            d.us() / 1000);
                    out.add(push);
                    sent.add(push);
                }
                case NACK, DEAD_LETTER -> {
                    if (answers.put(d.op(), d) != null) {
                        throw new AssertionError("answered twice: " + d);
                    }
                }
                case RELEASE -> released.add(d.endpoint());
                case WAKE -> wakes.add(nowMs + (d.us() + 999) / 1000);
                case LISTEN -> listens.add(nowMs);
                case CANCEL -> cancelled.addAll(out.stream().filter(p -> p.op() == d.op() && p.number() == d.push())
                        .toList());
            }
        }
        while (!cancelled.isEmpty()) {
            end(cancelled.remove(0), Outcome.CANCELLED);
        }
    }
}
