package dillcross;

import dillcross.model.*;
import java.util.*;

/**
 * Every decision of one sidecar. How to call it: tell it what happened (list, listFailed, arrive, ended,
 * streaming, left, woken), each with the clock in whole microseconds; these only note what is known. Then
 * pull {@link #next()} until it is null and carry out each {@link Decision}. Its interface is these methods
 * and the types of {@code dillcross.model}.
 *
 * <p>The design decides the ordinary path: five failures in a row eject an endpoint, a jittered penalty ends
 * in one real op on probation, a failed probation doubles the penalty, and among the rest two random choices
 * by smoothed latency x (own in flight + 1). Beside it stand these mechanisms, each named where it acts:
 * <ol>
 * <li>Cold cap: a fresh or returned endpoint gets pushes as its answers and our part of its budget allow.
 * <li>Silence: an overdue push counts as a failure before its TTL, and its age lifts the latency.
 * <li>Further pushes: second copies and retries on a budget that grows with first pushes.
 * <li>Admission: a bound on what is in flight, by Little's law; a short wait, then a nack.
 * <li>Part failures: a smoothed failure share ejects as a run does.
 * <li>Fairness: ops wait by benefit, and by what their category and tenant got of what they may.
 * </ol>
 */
public final class Logic {
    private static final int RUN_TO_EJECT = 5; // the design's threshold
    private static final long LAST_PENALTY_US = 60_000_000; // the design's ceiling
    private static final long FIRST_PENALTY_US = 1_000_000; // short, so that a pause costs little
    private static final double JITTER = 0.2; // of a penalty, as in the post
    private static final double SHARE_TO_EJECT = 0.4; // failure share; a run of five crosses it too
    private static final double SMOOTH = 0.15; // of a new latency in an endpoint's estimate
    private static final long FORGET_US = 10_000_000; // a slow endpoint without answers is tried again then
    private static final double OVERDUE = 8; // expected latencies after which a push counts as silence
    private static final double CROSSING = 20; // what the price of crossing zones weighs in the pick
    private static final double FIRST_LIMIT = 3; // in flight at an endpoint by all sidecars, at the start
    private static final double FADE_US = 4_000_000; // of the arrivals by which tenants are compared
    private static final double HELD = 1.5; // times its part of the bound that one endpoint may hold
    private static final double QUEUE = 2.25; // times what is in flight without a queue, while calm
    private static final double SPARE_SHARE = 0.2; // further pushes that a first push pays for
    private static final double SPARE_MOST = 20;
    private static final double WAIT_SHARE = 0.3; // of the target latency that an op waits for room at least
    private static final double COLD_PART = 0.5; // of our part of a cold endpoint's budget

    // ---- For one push
    private static final class Push {
        final Op op;
        final int number;
        final Server to;
        final long sentUs;
        Outcome end; // null while out
        boolean silent; // has been counted as a failure for its silence
        boolean unbound; // and does not count in the bound any more

        Push(Op op, int number, Server to, long sentUs) {
            this.op = op;
            this.number = number;
            this.to = to;
            this.sentUs = sentUs;
        }

        boolean risky() {
            return end == null || end.mayHaveRun;
        }
    }

    // ---- For one op
    private static final class Op {
        final long id;
        final Kind kind;
        final long bornUs;
        final long endUs;
        final long order;
        double rank;
        Tally tenant; // null where it has no quota
        final List<Push> pushes = new ArrayList<>(2);
        int out;
        boolean over;
        boolean begun; // its answer has begun to stream: it belongs to the client now

        Op(long id, Kind kind, long bornUs, long endUs, long order) {
            this.id = id;
            this.kind = kind;
            this.bornUs = bornUs;
            this.endUs = endUs;
            this.order = order;
        }

        /** It may have run, or may still. */
        boolean risky() {
            return pushes.stream().anyMatch(Push::risky);
        }
    }

    /** A category and what has been seen of it. */
    private static final class Kind {
        final Category is;
        final Tally tally = new Tally(1);
        double meanUs; // smoothed latency of its answers
        double calmUs; // the least that the mean was, slowly rising: what it takes without a queue
        int answers;

        Kind(Category is) {
            this.is = is;
            meanUs = is.targetUs() / 4.0; // until the first answer
        }

        void answered(double us, double rise) {
            answers++;
            meanUs += (us - meanUs) * Math.max(0.02, 1.0 / answers);
            calmUs = answers < 10 || meanUs < calmUs ? meanUs : calmUs + rise * (meanUs - calmUs);
        }
    }

    // ---- For one endpoint
    private static final class Server {
        Endpoint is;
        boolean listed;
        final ArrayDeque<Push> inFlight = new ArrayDeque<>(); // by time; ended ones leave at the head
        int flying;
        double slowness = 1; // smoothed latency over the mean of the category
        long holdUs; // it said full: nothing goes there until then
        int fulls; // in a row
        long lastAnswerUs;
        int run; // failures in a row
        double failing; // smoothed share of failures
        boolean out; // ejected
        boolean bySilence; // ... with no failure but silence
        long untilUs;
        long penaltyUs;
        Push probation;
        long coldFromUs; // counts as started then; 0 where it is warm
        long coldAnswers;
        final Window sent = new Window(); // pushes, by the cold rule's window

        Server(Endpoint is) {
            this.is = is;
        }
    }

    /** What came of late from a tenant or of a category, and what of that got a push; both fade. */
    private static final class Tally {
        final double part; // of all that comes, that is within its share
        double came;
        double got;

        Tally(double part) {
            this.part = part;
        }

        /** Above 1 where less was pushed than its share of what came. */
        double need(double all) {
            return Math.max(0.2, Math.min(came, part * all)) / Math.max(0.2, got);
        }

        void fade(double left) {
            came *= left;
            got *= left;
        }
    }

    /** A sum over the present slot of time and the one before. */
    private static final class Window {
        long slot;
        double now;
        double before;

        Window at(long at) {
            if (at != slot) {
                before = at == slot + 1 ? now : 0;
                now = 0;
                slot = at;
            }
            return this;
        }

        double sum() {
            return now + before;
        }
    }

    private record Task(long dueUs, long order, Push push, Op op) { }

    // ---- For the instance
    private final Random random;
    private final String zone;
    private final int sidecars;
    private final ColdRule cold;
    private final PushRule rule;
    private final boolean byWork; // benefit is counted for each unit of work, not for each op
    private final long askWithinUs;
    private final long mostRetryAfterUs;
    private final double crossing;
    private final long slotUs; // the mean target latency
    private final Map<String, Kind> kinds = new HashMap<>();
    private final Map<String, Tally> tenants = new HashMap<>();
    private double came; // all arrivals, fading
    private double due; // of them within the shares of their tenants
    private long fadedUs;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final List<Server> in = new ArrayList<>(); // up and not ejected, or all that are up
    private final List<Server> near = new ArrayList<>(); // those of them in our own zone
    private final List<Server> ejected = new ArrayList<>();
    private final Map<Long, Op> ops = new HashMap<>();
    private final ArrayDeque<Op> todo = new ArrayDeque<>();
    private final ArrayDeque<Op> leftOver = new ArrayDeque<>(); // over, with pushes still out
    private final TreeSet<Op> waiting = new TreeSet<>((a, b) ->
            a.rank != b.rank ? Double.compare(b.rank, a.rank) : Long.compare(a.order, b.order));
    private final PriorityQueue<Task> tasks = new PriorityQueue<>((a, b) ->
            a.dueUs != b.dueUs ? Long.compare(a.dueUs, b.dueUs) : Long.compare(a.order, b.order));
    private final ArrayDeque<Decision> ready = new ArrayDeque<>();
    private long now;
    private long order;
    private long wakeUs = Long.MAX_VALUE;
    private long listenUs;
    private int listFailures;
    private boolean listChanged;
    private boolean room;
    private double spare = SPARE_MOST / 2;
    private int flying;
    private int unbound; // of them
    private double held = 1; // how much of that one endpoint may hold
    private final Window calm = new Window(); // calm time of the answers, by the mean target latency
    private final Window answers = new Window();
    private long heardUs; // first answer
    private double slowed = 1; // smoothed latency over the calm one

    public Logic(long seed, String zone, int sidecars, List<Category> categories, List<Tenant> tenants,
            ColdRule cold, PushRule rule, boolean byWork, boolean mustAsk, long askWithinUs,
            long mostRetryAfterUs, double crossingPrice) {
        random = new Random(seed);
        this.zone = zone;
        this.sidecars = Math.max(1, sidecars);
        this.cold = cold;
        this.rule = rule;
        this.byWork = byWork;
        this.askWithinUs = askWithinUs;
        this.mostRetryAfterUs = mostRetryAfterUs;
        crossing = 1 + CROSSING * crossingPrice;
        slotUs = (long) categories.stream().mapToLong(Category::targetUs).average().orElse(1_000_000);
        categories.forEach(c -> kinds.put(c.name(), new Kind(c)));
        double quotas = tenants.stream().mapToDouble(Tenant::quotaPerS).sum();
        for (Tenant t : tenants) {
            if (t.quotaPerS() > 0) {
                this.tenants.put(t.name(), new Tally(t.quotaPerS() / quotas));
            }
        }
        listenUs = mustAsk ? Long.MIN_VALUE : Long.MAX_VALUE;
    }

    // ======== Inputs: these only note what is known

    /** News of the list: the whole of it, where what it does not name is gone, or changes alone. */
    public void list(long nowUs, boolean whole, List<Endpoint> entries) {
        now = nowUs;
        listFailures = 0;
        listChanged = true;
        if (whole) {
            servers.values().forEach(s -> s.listed = false);
        }
        for (Endpoint e : entries) {
            Server s = servers.computeIfAbsent(e.id(), id -> new Server(e));
            if (e.startedUs() > s.is.startedUs() || s.is == e) { // a new process: nothing old holds
                s.slowness = 1;
                chill(s, e.startedUs());
            }
            s.is = e;
            s.listed = e.health() == Endpoint.Health.UP;
        }
    }

    /** A call to the list failed, or its subscription broke. */
    public void listFailed(long nowUs) {
        now = nowUs;
        // A list that is out of reach for all must not be called by all at once: the wait grows, with jitter,
        // and stays within the time after which silence would count as being told.
        long wait = Math.min(askWithinUs / 3, 500_000L << Math.min(listFailures++, 3));
        listenUs = now + (long) (wait * (0.5 + random.nextDouble()));
    }

    /** An op has come in. */
    public void arrive(long nowUs, long id, String tenant, String category, long ttlUs, boolean repeat) {
        now = nowUs;
        Kind kind = kinds.get(category);
        Op op = new Op(id, kind, now, now + ttlUs, order++);
        op.tenant = tenants.get(tenant);
        op.rank = rank(op) * (repeat ? 0.5 : 1);
        ops.put(id, op);
        todo.add(op);
    }

    /** Counts the op in, and says how far forward it waits: by benefit and by need. */
    private double rank(Op op) {
        if (now - fadedUs > slotUs) {
            double left = Math.exp((fadedUs - now) / FADE_US);
            tenants.values().forEach(t -> t.fade(left));
            kinds.values().forEach(k -> k.tally.fade(left));
            came *= left;
            due = tenants.isEmpty() ? came : 0;
            tenants.values().forEach(t -> due += Math.min(t.came, t.part * came));
            fadedUs = now;
        }
        came++;
        Kind kind = op.kind;
        kind.tally.came++;
        // The root of the benefit for the work: the best is served first, and no category starves for it.
        double rank = Math.sqrt(kind.is.benefit() / (byWork ? 1 : kind.calmUs + 1)) * kind.tally.need(came);
        if (op.tenant != null) {
            op.tenant.came++;
            rank *= op.tenant.need(due); // a burst must not raise the share that it is held to
        }
        return rank;
    }

    /** A push has ended; {@code over} where the op is over with it or was before. */
    public void ended(long nowUs, long id, int number, Outcome outcome, long elapsedUs, boolean over) {
        now = nowUs;
        long tookUs = Math.max(1, elapsedUs); // an answer within the clock's step is no division by zero
        Op op = ops.get(id);
        Push push = op == null || number >= op.pushes.size() ? null : op.pushes.get(number);
        if (push == null || push.end != null) {
            return;
        }
        push.end = outcome;
        op.out--;
        Server s = push.to;
        s.flying--;
        flying--;
        unbound -= push.unbound ? 1 : 0;
        while (!s.inFlight.isEmpty() && s.inFlight.peekFirst().end != null) {
            s.inFlight.pollFirst();
        }
        room = true;
        if (outcome == Outcome.ACKED) {
            acked(push, tookUs);
        } else if (outcome.failure) {
            if (tookUs > op.kind.meanUs * s.slowness) {
                learn(s, tookUs / op.kind.meanUs);
            }
            failed(push);
        } else {
            if (outcome == Outcome.FULL) {
                // Others push here too, or it hangs behind a full queue: stay away, longer each time.
                double times = (0.5 + random.nextDouble()) * (1 << Math.min(s.fulls++, 6));
                s.holdUs = now + (long) (op.kind.meanUs * times);
            }
            if (s.probation == push) {
                s.probation = null; // it proved nothing: another may try after the hold
            }
        }
        settle(op, over);
        if (!op.over && op.out == 0) {
            todo.add(op);
        }
    }

    /** The answer of a streamed op has begun. */
    public void streaming(long nowUs, long id, int number) {
        now = nowUs;
        Op op = ops.get(id);
        if (op != null && number < op.pushes.size()) {
            op.begun = true;
            Push push = op.pushes.get(number);
            push.to.lastAnswerUs = now;
            push.to.run = 0;
        }
    }

    /** The client has gone: nothing more is owed. */
    public void left(long nowUs, long id) {
        now = nowUs;
        Op op = ops.get(id);
        if (op != null) {
            settle(op, true);
        }
    }

    /** A wake that was asked for has come. */
    public void woken(long nowUs) {
        now = nowUs;
        wakeUs = now >= wakeUs ? Long.MAX_VALUE : wakeUs;
    }

    // ---- Bookkeeping of endpoints

    private void acked(Push push, long tookUs) {
        Server s = push.to;
        Kind kind = push.op.kind;
        s.lastAnswerUs = now;
        s.run = 0;
        s.failing *= 0.9;
        // Hardly anything in flight and still slow: that is no queue of ours, less load would not mend it.
        kind.answered(tookUs, flying <= Math.max(1, 0.5 * in.size() / sidecars) ? 0.05 : 0.0001);
        learn(s, tookUs / kind.meanUs);
        s.fulls = 0;
        if (s.coldFromUs == 0) { // a cold endpoint is slow without a queue
            slowed += 0.06 * (Math.min(5, tookUs / kind.calmUs) - slowed);
        }
        heardUs = heardUs == 0 ? now : heardUs;
        calm.at(now / slotUs).now += kind.calmUs;
        answers.at(now / slotUs).now++;
        s.coldAnswers++;
        // An answer ends an ejection where it is the probation's, or where nothing but silence caused it: the
        // endpoint had paused, and is as sound as before.
        if (s.out && (s.probation == push || s.bySilence)) {
            s.out = false;
            s.failing = SHARE_TO_EJECT / 2;
            if (s.probation == push) {
                chill(s, now);
            }
            listChanged = true;
        }
        if (s.probation == push) {
            s.probation = null;
        }
    }

    private void learn(Server s, double slowness) {
        s.slowness += SMOOTH * (Math.min(slowness, 20) - s.slowness);
    }

    /** Notes a failure once, and ejects at the design's threshold or when too large a share fails. */
    private void failed(Push push) {
        Server s = push.to;
        boolean silence = push.end == null;
        if (!push.silent) {
            s.run++;
            s.failing += 0.1 * (1 - s.failing);
        }
        if (s.probation == push) {
            s.probation = null;
            eject(s, silence && s.bySilence);
        } else if (!s.out && !push.silent && (s.run >= RUN_TO_EJECT || s.failing > SHARE_TO_EJECT)) {
            eject(s, silence);
        }
    }

    private void eject(Server s, boolean bySilence) {
        // The penalty doubles where the endpoint was out a short while ago: one that fails half its ops
        // passes probation now and then.
        boolean again = s.penaltyUs > 0 && now < s.untilUs + 2 * s.penaltyUs + FIRST_PENALTY_US;
        s.penaltyUs = again ? Math.min(LAST_PENALTY_US, 2 * s.penaltyUs) : FIRST_PENALTY_US;
        s.untilUs = now + (long) (s.penaltyUs * (1 - JITTER + 2 * JITTER * random.nextDouble()));
        s.bySilence = bySilence;
        s.out = true;
        listChanged = true;
    }

    private void chill(Server s, long fromUs) {
        s.coldFromUs = now - fromUs > cold.warmUpUs() ? 0 : Math.max(1, fromUs);
        s.coldAnswers = 0;
    }

    /** Keeps an op that is over only while a push of it is out, and has that called back. */
    private void settle(Op op, boolean ends) {
        waiting.remove(op);
        if (ends && !op.over && op.out > 0 && rule.cancel() && !op.begun) {
            leftOver.add(op);
        }
        op.over |= ends;
        if (op.over && op.out == 0) {
            ops.remove(op.id);
        }
    }

    // ======== Decisions

    /** The next thing to do, or null when there is none. */
    public Decision next() {
        if (ready.isEmpty()) {
            decide();
        }
        return ready.poll();
    }

    private void decide() {
        if (now >= listenUs) {
            listenUs = Long.MAX_VALUE;
            ready.add(Decision.listen());
        }
        for (Op op; (op = leftOver.poll()) != null;) {
            for (Push p : op.pushes) {
                if (p.end == null) {
                    ready.add(Decision.cancel(op.id, p.number));
                }
            }
        }
        if (listChanged) {
            sort();
        }
        for (Task t; (t = tasks.peek()) != null && t.dueUs <= now;) {
            tasks.poll();
            if (t.push != null) {
                overdue(t.push);
            } else if (!t.op.over && waiting.remove(t.op)) {
                giveUp(t.op);
            }
        }
        if (listChanged) {
            sort();
        }
        for (Op op; (op = todo.poll()) != null;) {
            if (!op.over && op.out == 0) {
                place(op);
            }
        }
        if (room) {
            room = false;
            while (!waiting.isEmpty() && flying < most()) {
                Op op = waiting.first();
                if (push(op, pick(op), false)) {
                    waiting.remove(op);
                } else if (op.pushes.isEmpty()) {
                    break;
                } else {
                    giveUp(op); // it has tried what there is, and must not block the others
                }
            }
        }
        // More wait than can be answered in the time that they may wait: the least of them is told at once.
        while (waiting.size() > 1 + answered(WAIT_SHARE * slotUs)) {
            giveUp(waiting.last());
        }
        long due = Math.min(listenUs, tasks.isEmpty() ? Long.MAX_VALUE : tasks.peek().dueUs);
        if (due < wakeUs) {
            wakeUs = due;
            ready.add(Decision.wake(Math.max(0, due - now)));
        }
    }

    private void sort() {
        listChanged = false;
        in.clear();
        near.clear();
        ejected.clear();
        for (Server s : servers.values()) {
            if (s.listed) {
                (s.out ? ejected : in).add(s);
            }
        }
        if (in.isEmpty()) {
            in.addAll(ejected); // the design: with every endpoint ejected, pick as if none were
        }
        near.addAll(in);
        near.removeIf(s -> !s.is.zone().equals(zone));
        room = true;
    }

    /**
     * How much may be in flight over all endpoints. By Little's law the answers of a second times their
     * calm latency is what would be in flight without a queue; a multiple of it bounds the queue. Where
     * answers slow down the bound falls with them, round by round, until overdriven endpoints can rest;
     * where they are calm it grows.
     */
    private double most() {
        double mean = calm.at(now / slotUs).sum() / (slotUs + now % slotUs);
        boolean starting = heardUs == 0 || now - heardUs < slotUs;
        double floor = Math.max(1, starting ? FIRST_LIMIT * in.size() / sidecars : 1);
        double slack = 2 * Math.sqrt(mean / sidecars) + 0.5; // for chance; shared, as many add up
        double most = Math.max(floor, QUEUE / slowed * mean + slack);
        held = 1 + HELD * most / Math.max(1, in.size());
        return most + unbound;
    }

    /** Answers in so long a time, of late. */
    private double answered(double us) {
        return answers.at(now / slotUs).sum() * us / (slotUs + now % slotUs);
    }

    private void place(Op op) {
        boolean first = op.pushes.isEmpty();
        if (first && onProbation(op)) {
            return;
        }
        // Further pushes come out of a budget: retries must not feed an overload. What never ran cost little.
        double price = first ? 0 : op.pushes.get(op.pushes.size() - 1).end.mayHaveRun ? 1 : 0.25;
        if (spare < price) {
            giveUp(op);
        } else if (!(first && !waiting.isEmpty()) && flying < most() && push(op, pick(op), false)) {
            spare -= price;
        } else {
            double spareUs = op.kind.is.targetUs() - 1.5 * op.kind.meanUs; // it may wait and be in time still
            long until = op.bornUs + (long) Math.max(WAIT_SHARE * op.kind.is.targetUs(), 0.8 * spareUs);
            boolean fresh = first || flying >= most() && !op.risky();
            if (fresh && !in.isEmpty() && until > now && until < op.endUs) {
                waiting.add(op);
                room = true;
                tasks.add(new Task(until, order++, null, op));
            } else {
                giveUp(op);
            }
        }
    }

    /** Probation takes an op that can go elsewhere should it fail, one at a time for an endpoint. */
    private boolean onProbation(Op op) {
        for (Server s : ejected) {
            if (s.out && s.probation == null && now >= Math.max(s.untilUs, s.holdUs)
                    && (op.kind.is.effect() == Effect.REDELIVERABLE || now > s.untilUs + s.penaltyUs)
                    && push(op, s, true)) {
                return true;
            }
        }
        return false;
    }

    /** Final answer for an op that gets no further push: a nack where the rule on effects lets us promise. */
    private void giveUp(Op op) {
        Category c = op.kind.is;
        boolean mayNack = c.effect() == Effect.REDELIVERABLE || !op.risky()
                || c.effect() == Effect.DEDUPLICATED && c.group() == Group.ALL;
        if (mayNack) {
            long wait = (long) (c.targetUs() * (0.25 + 0.25 * random.nextDouble()));
            ready.add(Decision.nack(op.id, Math.min(mostRetryAfterUs, wait)));
        } else {
            ready.add(Decision.deadLetter(op.id));
        }
        settle(op, true);
    }

    // ---- The pick

    private Server pick(Op op) {
        if (op.risky() && op.kind.is.effect() != Effect.REDELIVERABLE) {
            return least(op); // few endpoints may take it: draws would miss them
        }
        Server here = near.isEmpty() ? null : better(op, draw(op, near), draw(op, near));
        Server best = here;
        if (near.size() < in.size()) {
            best = better(op, here, better(op, draw(op, in), draw(op, in)));
        }
        return best != null ? best : least(op);
    }

    private Server draw(Op op, List<Server> from) {
        Server s = from.get(random.nextInt(from.size()));
        return usable(op, s) ? s : null;
    }

    private Server better(Op op, Server a, Server b) {
        return a == null ? b : b == null || cost(a) <= cost(b) ? a : b;
    }

    private Server least(Op op) {
        Server best = null;
        for (Server s : in) {
            if (usable(op, s)) {
                best = better(op, best, s);
            }
        }
        return best;
    }

    private boolean usable(Op op, Server s) {
        if (now < s.holdUs || s.flying >= held || !lawful(op, s)) {
            return false;
        }
        for (int i = 0; i < op.pushes.size(); i++) {
            if (op.pushes.get(i).to == s) {
                return false;
            }
        }
        return true;
    }

    /** The design's smoothed latency x (own in flight + 1), with a price on leaving our zone. */
    private double cost(Server s) {
        double slow = s.slowness;
        if (slow > 1) { // an endpoint that lost every draw is tried again in time
            slow = 1 + (slow - 1) * Math.max(0, 1 - (double) (now - s.lastAnswerUs) / FORGET_US);
        }
        Push oldest = s.inFlight.peekFirst();
        if (oldest != null) { // silence: an old push says more than answers from before it
            slow = Math.max(slow, (now - oldest.sentUs) / oldest.op.kind.meanUs);
        }
        return slow * (s.flying + 1) * (s.is.zone().equals(zone) ? 1 : crossing);
    }

    // ---- The one way out: every push passes here, and with it every rule

    private boolean push(Op op, Server s, boolean probation) {
        if (s == null || !lawful(op, s)) {
            return false;
        }
        Push push = new Push(op, op.pushes.size(), s, now);
        op.pushes.add(push);
        op.out++;
        s.flying++;
        flying++;
        s.inFlight.addLast(push);
        if (probation) {
            s.probation = push;
        }
        s.sent.at(now / cold.windowUs()).now++;
        if (push.number == 0) {
            spare = Math.min(SPARE_MOST, spare + SPARE_SHARE);
            op.kind.tally.got++;
            if (op.tenant != null) {
                op.tenant.got++;
            }
        }
        long overdueUs = overdueAfter(push);
        tasks.add(new Task(now + overdueUs / 2, order++, push, null));
        // Where no copy may go beside it, a silent endpoint would hold the op until its TTL.
        boolean limit = !rule.copies() && op.kind.is.effect() == Effect.REDELIVERABLE
                && op.pushes.size() < rule.most();
        ready.add(Decision.push(op.id, s.is.id(), limit ? now + overdueUs : 0));
        return true;
    }

    private long overdueAfter(Push push) {
        return (long) (OVERDUE * push.op.kind.meanUs * Math.max(1, Math.min(4, push.to.slowness)));
    }

    private boolean lawful(Op op, Server s) {
        // One final answer, within the TTL and the push limit.
        if (op.over || op.begun || now >= op.endUs || op.pushes.size() >= rule.most()) {
            return false;
        }
        // Drains: nothing goes to an endpoint that we have been told is draining or gone.
        return s.listed && (op.out == 0 || rule.copies()) && repeatable(op, s) && coldRoom(s);
    }

    /** No effect twice. */
    private boolean repeatable(Op op, Server s) {
        Category c = op.kind.is;
        if (c.effect() == Effect.REDELIVERABLE) {
            return true;
        }
        for (Push p : op.pushes) {
            if (p.risky()) {
                boolean known = switch (c.group()) {
                    case ALL -> true;
                    case ZONE -> p.to.is.zone().equals(s.is.zone());
                    case CELL -> p.to.is.cell() == s.is.cell();
                };
                if (c.effect() == Effect.AT_MOST_ONCE || !known || now - p.sentUs > c.windowUs() * 0.9) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Our part of what a cold endpoint may be sent within a window; one op at a time until it answers. */
    private boolean coldRoom(Server s) {
        if (s.coldFromUs == 0 || now - s.coldFromUs >= cold.warmUpUs()) {
            s.coldFromUs = 0;
            return true;
        }
        double grown = Math.max(0, (double) (now - s.coldFromUs) / cold.warmUpUs());
        double share = cold.startShare() + (1 - cold.startShare()) * grown;
        double usual = answered(cold.windowUs()) / Math.max(1, in.size());
        double budget = Math.max(1, COLD_PART * cold.multiple() * share * usual);
        return s.flying < 1 + s.coldAnswers && s.sent.at(now / cold.windowUs()).sum() < budget;
    }

    /** A push is out far longer than its kind takes: silence is evidence, and a copy may help. */
    private void overdue(Push push) {
        Op op = push.op;
        if (push.end != null || push.silent || op.begun) {
            return;
        }
        long after = overdueAfter(push);
        boolean silent = push.to.lastAnswerUs <= Math.max(push.sentUs, now - after);
        // One silent endpoint must not use up the bound of a sidecar with little traffic.
        if (silent && !push.unbound && unbound < 2 * servers.size()) {
            push.unbound = true;
            unbound++;
        }
        boolean late = now - push.sentUs >= after;
        if (late && silent) {
            failed(push);
            push.silent = true;
        } else { // it answers others: look again, it may fall silent yet
            tasks.add(new Task(now + after / 2, order++, push, null));
        }
        boolean copy = late && !op.over && op.out == 1 && spare >= 1 && flying < most();
        if (copy && push(op, pick(op), false)) {
            spare--;
        }
    }
}
