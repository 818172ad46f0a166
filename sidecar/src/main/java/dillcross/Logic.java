package dillcross;

import dillcross.model.*;
import java.util.*;

/**
 * Every decision of one sidecar. How to call it: tell it what happened (settings, list, listFailed, arrive,
 * content, ended, reported, streaming, left, woken), each with the clock in whole microseconds; these only
 * note what is known. Then pull {@link #next()} until it is null and carry out each {@link Decision}. Its
 * interface is these, {@link #knows} and the types of {@code dillcross.model}.
 *
 * <p>The design decides the ordinary path: five failures in a row eject an endpoint, a jittered penalty ends
 * in one real op on probation, a failed probation doubles the penalty, and among the rest two random choices
 * by smoothed latency x (own in flight + 1), of those in use, location by location. Mechanisms beside it:
 * <ol>
 * <li>Cold cap: a fresh or returned endpoint gets pushes as its answers and our part of its budget allow.
 * <li>Silence: an overdue push counts as a failure before its TTL, and its age lifts the latency.
 * <li>Further pushes: second copies and retries on a budget that grows with first pushes.
 * <li>Admission: a bound on what is in flight, by Little's law and an op's worth; a short wait, then a nack.
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
    private static final long KEPT_US = 60_000_000; // an endpoint that the list dropped
    private static final long FORGET_US = 10_000_000; // by then one that lost every draw is tried again
    private static final double OVERDUE = 8; // expected latencies after which a push counts as silence
    private static final double PATIENCE = 3; // expected latencies before which a time-out is no failure
    private static final double CROSSING = 20; // what the price of crossing zones weighs in the pick
    private static final double FIRST_LIMIT = 3; // in flight at an endpoint by all sidecars, at the start
    private static final double FADE_US = 4_000_000; // of the arrivals by which tenants are compared
    private static final double HELD = 1.5; // times its part of the bound that one endpoint may hold
    private static final double ANSWERS = 10; // in the span over which means are taken, at the least
    private static final double QUEUE = 3.6; // times what is in flight without a queue, while calm
    private static final double SLOWEST = 2; // times calm that one answer counts: few that hang are no queue
    private static final double REPEAT = 0.4; // of a first try's part of the bound, for a repeat
    private static final long UNUSED_US = 2_000_000; // before connections to what is not in use are let go
    private static final double RENEWAL = 0.2; // of a renewed weight in what an endpoint seems to hold
    private static final double FEW = 3; // in flight; a bound of more lets bursts pass at any time
    private static final double SPARE_SHARE = 0.2; // further pushes that a first push pays for
    private static final double SPARE_MOST = 20;
    private static final double IN_TIME = 0.95; // of the target latency: a nack by then comes within it
    private static final double TOLD = 0.1; // of a new report in their mean
    private static final double DRAG = 0.2; // of one more push in its category's share of late ones
    private static final double WAIT_SHARE = 0.3; // of the target latency that an op waits for room at least
    private static final double REMEMBERED = 0.9; // of the time that a group remembers an op
    private static final double PATH = 4; // times what a path owes that a repeat may be on its way
    private static final double COLD_PART = 0.7; // of our part of a cold endpoint's budget
    private static final double LEAST_USED = 1.5; // mean sizes of a location that a sidecar uses at the least
    private static final double USED = 0.25; // of them for each op a second, so that each is heard of in time

    // ---- For one push
    private final class Push {
        final Op op;
        final Server to;
        long sentUs = now;
        Outcome end; // null while out
        boolean silent; // counted as a failure for it already, and no more in the bound
        boolean apart = true; // no load: its op still comes, its answer flows, or it has ended
        boolean lost; // nor one whose connection seems dead, which is no load on its endpoint either

        Push(Op op, Server to) {
            this.op = op;
            this.to = to;
        }

        boolean risky() {
            return end == null || end.mayHaveRun;
        }
    }

    // ---- For one op
    private final class Op {
        final long id;
        final Kind kind;
        final Category is; // as it came in: new settings must not change the rules under an op that is open
        final PushRule rule = Logic.this.rule; // likewise
        final long bornUs = now;
        long endUs; // counts from the last byte of its content
        final boolean early; // that is before its TTL: nothing is earned later, and a miss weighs
        final long number = order++;
        double rank;
        double part; // of the bound: its worth for its time against the usual
        Tally tenant; // null where it has no quota
        final List<Push> pushes = new ArrayList<>(2);
        int out;
        boolean over;
        Push begun; // whose answer has begun to stream: it belongs to the client now
        boolean coming; // its content still comes: no endpoint can have begun with it
        boolean spent; // a part of its content was let go, so it can't be pushed again

        Op(long id, Kind kind, long ttlUs) {
            this.id = id;
            this.kind = kind;
            is = kind.is;
            early = goal.punctual() > 0 && is.overdue() == 0 && redeliverable();
            endUs = now + (early ? Math.min(ttlUs, (long) (IN_TIME * is.targetUs())) : ttlUs);
        }

        boolean redeliverable() {
            return is.effect() == Effect.REDELIVERABLE;
        }

        /** It may have run, or may still. */
        boolean risky() {
            return pushes.stream().anyMatch(Push::risky);
        }
    }

    /** A category and what has been seen of it. */
    private static final class Kind {
        Category is;
        final Tally tally = new Tally(1);
        double meanUs; // smoothed latency of its answers
        double calmUs; // the least that the mean was, slowly rising: what it takes without a queue
        int answers;
        double late; // smoothed share of late pushes, at endpoints that answered others meanwhile

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
        boolean listed; // it may be pushed to
        long droppedUs; // since when the list leaves it out though it did not drain; 0 while it is named
        final ArrayDeque<Push> inFlight = new ArrayDeque<>(); // by time
        int flying;
        double slowness = 1; // smoothed latency over the mean of the category
        int heard; // latencies in it
        long holdUs; // it said full: nothing goes there until then
        int fulls; // in a row
        long lastAnswerUs;
        long answeredUs; // when the latest push was sent that it answered
        long learnedUs; // when last a push ended
        int run; // failures in a row
        double failing; // smoothed share of failures
        boolean out; // ejected
        boolean bySilence; // ... with no failure but silence
        long untilUs;
        long penaltyUs;
        Push probation;
        long coldFromUs; // counts as started then; 0 where it is warm
        long coldAnswers;
        double told; // ops that it said to hold, for its size
        long window; // of the cold rule
        int sent; // pushes in it
        long pushedUs; // last; 0 where its connections were let go since
        double lot; // redrawn for each such window: what the fraction of a push comes to

        final long place; // on the ring, the same at all sidecars

        double nominal; // its size; of weights that move with load the largest: with nothing held
        double held; // ops a core by those weights, smoothed: sidecars that follow a late figure herd

        void weigh(double weight, boolean live) {
            nominal = live ? Math.max(nominal, weight) : weight;
            held = live ? held + RENEWAL * (nominal / weight - 1 - held) : 0;
        }

        double size() {
            return nominal / (1 + held);
        }

        Server(Endpoint is) {
            this.is = is;
            place = is.id().chars().asLongStream().reduce(17, (h, c) -> (h ^ c) * 0x9E3779B97F4A7C15L);
        }
    }

    /** What came of late from a tenant or of a category, and what of that got a push; both fade. */
    private static final class Tally {
        double part; // of all that comes, that is within its share
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

    /** A mean over time that fades, by the span that the instance keeps for all of them. */
    private final class Mean {
        double is;
        long atUs;

        /** Fades to now, with {@code level} held since the last call. */
        double at(double level) {
            is = level + (is - level) * Math.exp((atUs - now) / spanUs);
            atUs = now;
            return is;
        }
    }

    private record Task(long dueUs, long order, Push push, Op op) { }

    // ---- For the instance
    private final Random random;
    private String zone;
    private int sidecars;
    private ColdRule cold;
    private PushRule rule;
    private boolean byWork; // benefit is counted for each unit of work, not for each op
    private ListRule listRule;
    private Goal goal;
    private long mostRetryAfterUs;
    private double crossing;
    private double leaving = 1; // it weighs less where our own location is the more crowded
    private long slotUs; // the mean target latency
    private final Map<String, Kind> kinds = new HashMap<>();
    private Map<String, Tally> tenants = new HashMap<>();
    private double came; // all arrivals, fading
    private double due; // of them within the shares of their tenants
    private long fadedUs;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final List<Server> in = new ArrayList<>(); // up and not ejected, or all that are up
    private final List<Server> near = new ArrayList<>(); // those of them in our own zone that we use
    private final List<Server> far = new ArrayList<>(); // and those of the next
    private double spot; // where on the ring we begin, of 1: even over the sidecars
    private double want = LEAST_USED; // endpoints of a location that we use
    private final List<Server> ejected = new ArrayList<>();
    private final Map<Long, Op> ops = new HashMap<>();
    private final ArrayDeque<Op> todo = new ArrayDeque<>();
    private final ArrayDeque<Op> leftOver = new ArrayDeque<>(); // over, with pushes still out
    private final TreeSet<Op> waiting = new TreeSet<>((a, b) ->
            a.rank != b.rank ? Double.compare(b.rank, a.rank) : Long.compare(a.number, b.number));
    private final PriorityQueue<Task> tasks = new PriorityQueue<>((a, b) ->
            a.dueUs != b.dueUs ? Long.compare(a.dueUs, b.dueUs) : Long.compare(a.order, b.order));
    private final ArrayDeque<Decision> ready = new ArrayDeque<>();
    private long now;
    private long order;
    private long wakeUs = Long.MAX_VALUE;
    private long listenUs = Long.MAX_VALUE;
    private int listFailures;
    private boolean listChanged;
    private boolean room;
    private double largest; // size that the list gives to an endpoint
    private double spare = 1; // a budget from the start would add up over hundreds of sidecars
    private int flying;
    private int silent; // of them
    private final Mean calm = new Mean(); // calm time of the answers, a microsecond
    private final Mean answers = new Mean(); // a microsecond
    private final Mean load = new Mean(); // in flight
    private double spanUs; // over which these are taken
    private long heardUs; // first answer
    private double usualWorth; // for its time, of an op
    private long arrivals;
    private double meanTold; // what endpoints say to hold, smoothed
    private double slowed = 1; // smoothed latency over the calm one

    public Logic(long seed, String zone, int me, int sidecars, List<Category> categories,
            List<Tenant> tenants, ColdRule cold, PushRule rule, boolean byWork, ListRule list,
            long mostRetryAfterUs, double crossingPrice, Goal goal) {
        random = new Random(seed);
        settings(0, zone, me, sidecars, categories, tenants, cold, rule, byWork, list, mostRetryAfterUs,
                crossingPrice, goal);
    }

    // ======== Inputs: these only note what is known

    /** New settings, whole. Endpoints, ops and what was learned (by category and tenant name) stay. */
    public void settings(long nowUs, String zone, int me, int sidecars, List<Category> categories,
            List<Tenant> tenants, ColdRule cold, PushRule rule, boolean byWork, ListRule list,
            long mostRetryAfterUs, double crossingPrice, Goal goal) {
        now = nowUs;
        this.zone = zone;
        spot = Math.abs(me * (Math.sqrt(5) - 1) / 2) % 1; // multiples of the golden ratio lie evenly
        this.sidecars = Math.max(1, sidecars);
        this.cold = cold;
        this.rule = rule;
        this.byWork = byWork;
        this.goal = goal;
        this.mostRetryAfterUs = mostRetryAfterUs;
        crossing = 1 + CROSSING * crossingPrice;
        slotUs = (long) categories.stream().mapToLong(Category::targetUs).average().orElse(1e6);
        spanUs = Math.max(spanUs, slotUs);
        categories.forEach(c -> kinds.computeIfAbsent(c.name(), n -> new Kind(c)).is = c);
        double quotas = tenants.stream().mapToDouble(Tenant::quotaPerS).sum();
        Map<String, Tally> before = this.tenants;
        this.tenants = new HashMap<>();
        tenants.stream().filter(t -> t.quotaPerS() > 0).forEach(t -> {
            Tally tally = before.getOrDefault(t.name(), new Tally(0));
            tally.part = t.quotaPerS() / quotas;
            this.tenants.put(t.name(), tally);
        });
        if (list.mustAsk() && (listRule == null || !listRule.mustAsk())) {
            double herd = Math.min(list.askWithinUs() / 3.0, 10_000.0 * this.sidecars); // at once all
            long wait = (long) (herd * random.nextDouble());
            listenUs = servers.isEmpty() ? -1 - wait : now + wait;
        }
        listenUs = list.mustAsk() ? listenUs : Long.MAX_VALUE;
        listRule = list;
        servers.values().forEach(s -> s.weigh(s.is.weight(), list.live() && s.held > 0)); // till renewed
        listChanged = true;
    }

    /** News of the list: the whole of it, where what it does not name is gone, or changes alone. */
    public void list(long nowUs, boolean whole, List<Endpoint> entries) {
        now = nowUs;
        listFailures = 0;
        listenUs = listenUs < 0 ? now - listenUs : listenUs; // after a start, from the first list on
        listChanged |= whole;
        if (whole) {
            servers.values().forEach(this::drop);
        }
        for (Endpoint e : entries) {
            Server s = servers.computeIfAbsent(e.id(), id -> new Server(e));
            Endpoint was = s.is;
            boolean up = e.health() == Endpoint.Health.UP;
            boolean stays = e.health() == Endpoint.Health.GONE && drop(s);
            // Weights that move with load come many times a second, for all endpoints: no change of the list.
            listChanged |= was == e || (up || stays) != s.listed || e.startedUs() != was.startedUs()
                    || e.cell() != was.cell() || !e.zone().equals(was.zone())
                    || !listRule.live() && e.weight() != was.weight();
            if (e.startedUs() > was.startedUs() || was == e) { // a new process: nothing old holds
                s.slowness = 1;
                s.heard = 0;
                chill(s, e.startedUs());
            }
            s.is = e;
            s.listed = up || stays;
            s.droppedUs = up ? 0 : s.droppedUs;
            s.weigh(e.weight(), listRule.live());
        }
        double[] held = {0, 1e-9, 0, 1e-9}; // and the sizes to it, of our own location and of the others
        for (Server s : servers.values()) {
            int i = s.is.zone().equals(zone) ? 0 : 2;
            held[i] += s.listed ? s.nominal * s.held : 0;
            held[i + 1] += s.listed ? s.nominal : 0;
        }
        leaving = (1 + held[2] / held[3]) / (1 + held[0] / held[1]);
    }

    /** The list names it no more, or as gone, undrained; true where that does not bind. A list can be wrong;
     * its own answers say whether it is there: it stays until it refuses or cuts off, forgotten KEPT_US
     * after drop and last answer. Guards too against lists that shrink or go back; harms where a machine dies
     * as it leaves the list: one push more for each sidecar. */
    private boolean drop(Server s) {
        boolean stays = listRule.goneStays() && s.listed;
        s.droppedUs = stays && s.droppedUs == 0 ? now : s.droppedUs;
        listChanged |= s.listed != stays;
        return s.listed = stays;
    }

    /** Whether it may be pushed to still: a host keeps its address as long. */
    public boolean knows(String endpoint) {
        return servers.containsKey(endpoint) && servers.get(endpoint).listed;
    }

    /** A call to the list failed, or its subscription broke; it is asked again so soon, times 0.5 to 1.5. */
    public void listFailed(long nowUs, long mostUs) {
        now = nowUs;
        // All must not call an unreachable list at once: waits grow, jittered, within the time to be deaf.
        long wait = Math.min(listRule.askWithinUs() / 3, 500_000L << Math.min(listFailures++, 3));
        listenUs = now + (long) (Math.min(wait, mostUs) * (0.5 + random.nextDouble()));
    }

    /** An op has come in. */
    public void arrive(long nowUs, long id, String tenant, String category, long ttlUs, boolean repeat) {
        now = nowUs;
        Kind kind = kinds.get(category);
        Op op = new Op(id, kind, ttlUs);
        op.tenant = tenants.get(tenant);
        // A sidecar with little traffic hardly ever has two that wait, so an op's worth for its time says how
        // much of the bound is for it, too; little where its client gives up before an answer can come.
        double time = byWork ? 1 : Math.max(kind.meanUs, 0.2 * kind.is.targetUs());
        double worth = Math.sqrt(kind.is.benefit() / time) * Math.min(1, ttlUs / (2 * kind.meanUs));
        usualWorth += Math.max(0.02, 1.0 / ++arrivals) * (worth - usualWorth);
        op.part = Math.max(0.25, Math.min(2, worth / Math.max(1e-9, usualWorth) * (repeat ? REPEAT : 1)));
        op.rank = need(op) * worth * (repeat ? REPEAT : 1);
        ops.put(id, op);
        todo.add(op);
    }

    /** Counts the op in, and says how far its category and tenant are behind what they may get. */
    private double need(Op op) {
        if (now - fadedUs > slotUs) {
            double left = Math.exp((fadedUs - now) / FADE_US);
            tenants.values().forEach(t -> t.fade(left));
            kinds.values().forEach(k -> k.tally.fade(left));
            came *= left;
            due = tenants.isEmpty() ? came : 0;
            tenants.values().forEach(t -> due += Math.min(t.came, t.part * came));
            fadedUs = now;
            spanUs = Math.max(slotUs, ANSWERS / Math.max(0.1, came) * FADE_US);
            double perS = came * 1e6 / FADE_US;
            double wish = perS > servers.size() * (want < servers.size() ? 1 : 0.7) ? servers.size() + 1
                    : Math.max(LEAST_USED, USED * perS);
            if (wish > 1.2 * want || wish < 0.6 * want) { // not for chance alone: moving loses evidence
                want = wish;
                listChanged = true;
            }
        }
        came++;
        op.kind.tally.came++;
        double need = op.kind.tally.need(came);
        if (op.tenant != null) {
            op.tenant.came++;
            need *= op.tenant.need(due); // a burst must not raise the share that it is held to
        }
        return need;
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
        unload(push);
        s.slowness = now - s.learnedUs > FORGET_US / 2 ? Math.min(1, s.slowness) : s.slowness;
        s.learnedUs = now;
        drag(push, tookUs);
        if (outcome == Outcome.ACKED && op.begun != push) {
            acked(push, tookUs);
        } else if (outcome.failure) {
            // One time-out says as much as many slow answers; a sidecar with little traffic sees no more.
            double ratio = push.lost || op.coming ? 0 : Math.min(20, tookUs / op.kind.meanUs);
            s.slowness = Math.max(s.slowness, ratio);
            // A client that gives up before an answer could be expected is no word on the endpoint's health.
            if (outcome != Outcome.TIMED_OUT || tookUs > PATIENCE * op.kind.meanUs || s.probation == push) {
                failed(push);
            }
            if (outcome == Outcome.TIMED_OUT && !s.out && !push.lost) {
                slow(push, tookUs); // a jam acks nothing, and must close the bound all the same
            }
        } else if (outcome == Outcome.FULL) {
            // Others push here too, or it hangs behind a full queue: stay away, longer each time.
            double times = (0.5 + random.nextDouble()) * (1 << Math.min(s.fulls++, 6));
            s.holdUs = now + (long) (op.kind.meanUs * times);
            s.slowness = Math.max(s.slowness, OVERDUE); // its queue is full: as slow as can be
        }
        s.probation = s.probation == push ? null : s.probation; // another may try
        settle(op, over);
        if (!op.over && op.out == 0) {
            todo.add(op);
        }
    }

    /** An endpoint said how many ops it holds. */
    public void reported(long nowUs, String endpoint, double held) {
        now = nowUs;
        Server s = servers.get(endpoint);
        if (s != null) {
            s.told = held / s.size();
            meanTold += TOLD * (s.told - meanTold);
        }
    }

    /** The answer of a streamed op has begun. */
    public void streaming(long nowUs, long id, int number) {
        now = nowUs;
        Op op = ops.get(id);
        if (op != null && number < op.pushes.size()) {
            Push push = op.begun = op.pushes.get(number);
            unload(push); // how long it flows is its client's doing as well, and no queue of the endpoint's
            acked(push, Math.max(1, now - push.sentUs));
            leftOver.add(op); // the client has one answer, and the copies beside it none to give
        }
    }

    /** How far an op's content has come, and whether all of it could be pushed once more. */
    public void content(long nowUs, long id, boolean whole, boolean again) {
        now = nowUs;
        Op op = ops.get(id);
        if (op != null) {
            op.coming = !whole;
            op.spent = !again;
            op.endUs += whole ? now - op.bornUs : 0;
            op.pushes.stream().filter(p -> whole && p.end == null).forEach(this::load);
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

    /** Notes whether a push came too late though its endpoint answered others meanwhile. */
    private void drag(Push push, long tookUs) {
        Kind kind = push.op.kind;
        boolean late = tookUs > kind.is.targetUs();
        if (late ? push.to.lastAnswerUs > push.sentUs : push.end == Outcome.ACKED) {
            kind.late += DRAG * ((late ? 1 : 0) - kind.late);
        }
    }

    /** By how much more of a category comes late than of the least late one. What drags its own ops wherever
     * they go (a store behind them) is no queue there; a queue makes all late. Harms where a long target
     * hides a queue that a short one shows: the bound then closes later. */
    private double drags(Kind kind) {
        return Math.max(0, kind.late - kinds.values().stream().filter(k -> k.answers > 3)
                .mapToDouble(k -> k.late).min().orElse(1));
    }

    // ---- Bookkeeping of endpoints

    private void acked(Push push, long tookUs) {
        Server s = push.to;
        Kind kind = push.op.kind;
        s.lastAnswerUs = now;
        s.answeredUs = Math.max(s.answeredUs, push.sentUs);
        s.run = 0;
        s.failing *= 0.9;
        // Hardly anything in flight and still slow: that is no queue of ours, less load would not mend it.
        kind.answered(tookUs, flying <= Math.max(1, 0.5 * in.size() / sidecars) ? 0.05 : 0.0001);
        double ratio = Math.min(20, tookUs / kind.meanUs);
        s.slowness += Math.max(SMOOTH, 1.0 / (2 + s.heard++)) * (ratio - s.slowness); // the first weigh more
        s.fulls = 0;
        slow(push, tookUs);
        heardUs = heardUs == 0 ? now : heardUs;
        calm.is = calm.at(0) + kind.calmUs / spanUs;
        answers.is = answers.at(0) + 1 / spanUs;
        s.coldAnswers++;
        // An answer also ends an ejection that only silence caused: it had paused, and is as sound as before.
        if (s.out && (s.probation == push || s.bySilence)) {
            s.out = false;
            s.failing = SHARE_TO_EJECT / 2;
            listChanged = true;
            chill(s, s.probation == push ? now : s.coldFromUs);
        }
    }

    /** Weighs how slow it was, for the bound; a calm learned under load or from little is kept in bounds. */
    private void slow(Push push, long tookUs) {
        if (push.to.coldFromUs == 0) { // a cold endpoint is slow without a queue
            long target = push.op.is.targetUs();
            // Against its own usual: where one of the few in use is slow, the rest must not be closed for it.
            double slow = tookUs / Math.max(1, Math.min(5, push.to.slowness))
                    / Math.max(0.2 * target, Math.min(0.33 * target, push.op.kind.calmUs));
            double part = Math.max(0.06, 1 / (4 + 1e6 * answers.at(0))) * (1 - drags(push.op.kind));
            slowed += part * (Math.max(0.6, Math.min(SLOWEST, slow)) - slowed);
        }
    }

    /** Notes a failure once, and ejects at the design's threshold or when too large a share fails. */
    private void failed(Push push) {
        Server s = push.to;
        s.run += push.silent ? 0 : 1;
        s.failing += push.silent ? 0 : 0.1 * (1 - s.failing);
        boolean away = s.droppedUs > 0 && (push.end == Outcome.CONNECT_FAILED || push.end == Outcome.RESET);
        boolean bad = !s.out && !push.silent && (s.run >= RUN_TO_EJECT || s.failing > SHARE_TO_EJECT || away);
        if (bad || s.probation == push) {
            eject(s, push.end == null && (bad || s.bySilence));
        }
    }

    private void eject(Server s, boolean bySilence) {
        // It doubles soon after the last, too: who fails half its ops passes probation now and then.
        boolean again = s.penaltyUs > 0 && now < s.untilUs + 2 * s.penaltyUs + FIRST_PENALTY_US;
        s.penaltyUs = again ? Math.min(LAST_PENALTY_US, 2 * s.penaltyUs) : FIRST_PENALTY_US;
        s.untilUs = now + (long) (s.penaltyUs * (1 - JITTER + 2 * JITTER * random.nextDouble()));
        s.bySilence = bySilence;
        s.out = true;
        s.probation = null;
        listChanged = true;
    }

    private void chill(Server s, long fromUs) {
        s.coldFromUs = fromUs == 0 || now - fromUs > cold.warmUpUs() ? 0 : fromUs;
        s.coldAnswers = 0;
    }

    /** Keeps an op that is over only while a push of it is out, and has that called back. */
    private void settle(Op op, boolean ends) {
        waiting.remove(op);
        if (ends && !op.over && op.begun == null) {
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
            for (int i = 0; i < op.pushes.size(); i++) {
                if (op.rule.cancel() && op.pushes.get(i).end == null && op.pushes.get(i) != op.begun) {
                    ready.add(Decision.cancel(op.id, i));
                }
            }
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
        for (Server s : now == fadedUs ? servers.values() : List.<Server>of()) {
            s.listed &= s.droppedUs == 0 || now - Math.max(s.droppedUs, s.lastAnswerUs) < KEPT_US;
            listChanged |= !s.listed;
            // Hundreds of sidecars fill an endpoint's table with connections that each used for a moment.
            if (s.pushedUs > 0 && s.flying == 0 && now - s.pushedUs > UNUSED_US && !near.contains(s)
                    && !far.contains(s)) {
                s.pushedUs = 0;
                ready.add(Decision.release(s.is.id()));
            }
        }
        for (Op op; (op = todo.poll()) != null;) {
            if (!op.over && op.out == 0) {
                place(op);
            }
        }
        if (room) {
            room = false;
            while (!waiting.isEmpty() && bound(waiting.first())) {
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
        while (waiting.size() > 1 + answers.at(0) * WAIT_SHARE * slotUs) {
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
        List.of(in, near, far, ejected).forEach(List::clear);
        servers.values().removeIf(s -> !s.listed && s.flying == 0); // long gone: nothing is kept of it
        List<Server> ring = servers.values().stream().filter(s -> s.listed)
                .sorted(Comparator.comparingLong(s -> s.place)).toList();
        ring.forEach(s -> (s.out ? ejected : in).add(s));
        in.addAll(in.isEmpty() ? ejected : List.of()); // the design: all ejected is as none
        Collections.rotate(in, -(int) (spot * in.size())); // or all whose own are full turn to the same one
        Map<String, List<Server>> zones = new HashMap<>();
        ring.forEach(s -> zones.computeIfAbsent(s.is.zone(), z -> new ArrayList<>()).add(s));
        use(zones.remove(zone), near);
        for (int i = 0, from = (int) (spot * ring.size()); i < ring.size() && far.size() < want; i++) {
            use(zones.remove(ring.get((from + i) % ring.size()).is.zone()), far);
        }
        largest = ring.stream().mapToDouble(s -> s.size()).max().orElse(1);
        room = true;
    }

    /** Takes into use what we want of a location, from our own spot on its ring: sidecars differ, endpoints
     * share alike, a change of the list moves few. Spread over all, a sidecar with little traffic would learn
     * nothing of any. What is ejected or cold does not count; when all that is used is full others help. */
    private void use(List<Server> location, List<Server> used) {
        location = location == null ? List.of() : location;
        double all = location.stream().mapToDouble(s -> s.nominal).sum();
        int from = 0;
        for (double at = spot * all; from < location.size() - 1 && at >= location.get(from).nominal; from++) {
            at -= location.get(from).nominal;
        }
        double wish = want * all / location.size();
        int warm = 0; // two at the least, to choose between
        for (int i = 0; i < location.size() && (wish > 1e-9 * all || warm < 2); i++) {
            Server s = location.get((from + i) % location.size());
            if (!s.out || in.get(0).out) {
                used.add(s);
                wish -= s.coldFromUs == 0 ? s.nominal : 0;
                warm += s.coldFromUs == 0 ? 1 : 0;
            }
        }
    }

    /** How much may be in flight, in the mean. By Little's law the answers of a second times their calm
     * latency is what would be in flight without a queue; a multiple bounds the queue, and falls as answers
     * slow down, so that overdriven endpoints can rest. No floor of an op: over a fleet floors add up. */
    private double most() {
        double known = heardUs == 0 ? 0 : 1 - Math.exp((heardUs - now) / spanUs);
        double mean = calm.at(0) / Math.max(0.2, known);
        double least = (known < 0.6 ? FIRST_LIMIT : 1) * in.size() / sidecars;
        return Math.max(least, QUEUE / Math.pow(Math.max(1, slowed), 3) * mean);
    }

    /** In flight and not silent; two an endpoint may be, so that a silent fleet stays bounded. */
    private int loud() {
        return flying - Math.min(silent, 2 * servers.size());
    }

    /** There is room for one more; where few may be in flight their mean counts, or thin traffic starves. */
    private boolean bound(Op op) {
        double most = most() * op.part;
        double under = most - load.at(loud());
        double slack = Math.sqrt(most); // by which a short burst may pass it
        double always = Math.min(slack, 0.5 * (most - FEW));
        return loud() < most + Math.max(Math.max(-slack, always), Math.min(slack, 2 * under));
    }

    private void place(Op op) {
        boolean first = op.pushes.isEmpty();
        if (first && onProbation(op)) {
            return;
        }
        // Further pushes come out of a budget: retries must not feed an overload. What never ran cost little.
        double price = first ? 0 : op.pushes.get(op.pushes.size() - 1).end.mayHaveRun ? 1 : 0.25;
        if (spare < price || op.spent && !first) {
            giveUp(op);
        } else if (!(first && !waiting.isEmpty()) && bound(op) && push(op, pick(op), false)) {
            spare -= price;
        } else {
            double spareUs = op.is.targetUs() - 1.5 * op.kind.meanUs; // it may wait and be in time still
            long until = op.bornUs + (long) Math.max(WAIT_SHARE * op.is.targetUs(), 0.8 * spareUs);
            if ((first || !bound(op) && !op.risky()) && !in.isEmpty() && until > now && until < op.endUs) {
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
        return ejected.stream().anyMatch(s -> s.out && s.probation == null && now >= s.holdUs
                && now >= s.untilUs + (op.redeliverable() ? 0 : s.penaltyUs) && push(op, s, true));
    }

    /** Final answer for an op that gets no further push: a nack where the rule on effects lets us promise. */
    private void giveUp(Op op) {
        boolean mayNack = !op.risky() || op.redeliverable()
                || op.is.effect() == Effect.DEDUPLICATED && op.is.group() == Group.ALL;
        // Where a try from here on can't be in time nor earn anything, one at once is work for nothing.
        boolean tooLate = op.is.overdue() == 0 && op.bornUs + op.is.targetUs() < now + 1.5 * op.kind.meanUs;
        long wait = tooLate ? mostRetryAfterUs
                : Math.min(mostRetryAfterUs, (long) (op.is.targetUs() * (0.1 + 0.2 * random.nextDouble())));
        ready.add(mayNack ? Decision.nack(op.id, wait) : Decision.deadLetter(op.id));
        settle(op, true);
    }

    // ---- The pick

    private Server pick(Op op) {
        Server best = op.risky() && !op.redeliverable() ? null // draws would miss the few that may
                : better(two(op, near), two(op, far));
        return best != null ? best : in.stream().filter(s -> usable(op, s)).reduce(null, this::better);
    }

    /** The better of two different ones: of the few that are in use one drawn twice is no choice. */
    private Server two(Op op, List<Server> from) {
        Server one = draw(op, from, null);
        return better(one, draw(op, from, one));
    }

    private Server draw(Op op, List<Server> from, Server but) {
        Server s = null;
        for (int i = 0; i < 5 && !from.isEmpty(); i++) { // more often the larger: what we see tells it late
            boolean other = s == null || s == but || random.nextDouble() * largest > s.size();
            s = other ? from.get(random.nextInt(from.size())) : s;
        }
        return s != null && s != but && usable(op, s) ? s : null;
    }

    private Server better(Server a, Server b) {
        return a == null ? b : b == null || cost(a) <= cost(b) ? a : b;
    }

    private boolean usable(Op op, Server s) {
        return now >= s.holdUs && s.flying < 1 + HELD * most() / (near.size() + far.size()) && lawful(op, s)
                && op.pushes.stream().noneMatch(p -> p.to == s);
    }

    /** The design's smoothed latency x (own in flight + 1), with a price on leaving our zone. */
    private double cost(Server s) {
        double seems = s.slowness * Math.sqrt((s.told + 0.5) / (meanTold + 0.5)); // the full: all would herd
        double fresh = seems > 1 ? Math.max(0, 1 - (double) (now - s.learnedUs) / FORGET_US) : 1;
        double slow = 1 + (seems - 1) * fresh;
        Push oldest = s.inFlight.peekFirst();
        if (oldest != null) { // silence: an old push says more than answers from before it
            slow = Math.max(slow, (now - oldest.sentUs) / oldest.op.kind.meanUs);
        }
        return slow * (s.flying + 1) * (s.is.zone().equals(zone) ? 1 : crossing * leaving);
    }

    // ---- The one way out: every push passes here, and with it every rule

    private boolean push(Op op, Server s, boolean probation) {
        if (s == null || !lawful(op, s)) {
            return false;
        }
        boolean first = op.pushes.isEmpty();
        Push push = new Push(op, s);
        op.pushes.add(push);
        op.out++;
        s.pushedUs = now;
        if (!op.coming) { // before that it is no load, and its silence tells nothing
            load(push);
        }
        s.probation = probation ? push : s.probation;
        s.sent++;
        if (first) {
            spare = Math.min(Math.max(1, Math.min(SPARE_MOST, SPARE_SHARE * came)), spare + SPARE_SHARE);
            op.kind.tally.got++;
            if (op.tenant != null) {
                op.tenant.got++;
            }
        }
        // Where no copy may go beside it, a silent endpoint would hold the op until its TTL.
        boolean limit = !op.rule.copies() && op.pushes.size() < op.rule.most() && op.redeliverable();
        long byUs = op.early && !op.coming ? op.endUs : Long.MAX_VALUE;
        byUs = limit ? Math.min(byUs, now + overdueAfter(push)) : byUs;
        // A repeat ends with its group's memory: what is on its way then could run a second time.
        byUs = first || op.is.effect() != Effect.DEDUPLICATED ? byUs
                : (long) (REMEMBERED * op.is.windowUs()) + op.pushes.stream()
                .filter(p -> p != push && p.risky()).mapToLong(p -> p.sentUs).min().orElse(op.endUs);
        ready.add(Decision.push(op.id, s.is.id(), byUs == Long.MAX_VALUE ? 0 : byUs));
        return true;
    }

    /** From now on its endpoint works for it. */
    private void load(Push push) {
        load.at(loud());
        push.apart = false;
        push.sentUs = now;
        flying++;
        push.to.flying++;
        push.to.inFlight.addLast(push);
        tasks.add(new Task(now + Math.min(overdueAfter(push) / 2, lastChance(push.op)), order++, push, null));
    }

    /** After how long a push leaves a copy just time enough to be answered within the target latency. */
    private long lastChance(Op op) {
        return goal.punctual() == 0 ? Long.MAX_VALUE / 2
                : (long) Math.max(1.5 * op.kind.meanUs, op.is.targetUs() - 2 * op.kind.meanUs);
    }

    private void unload(Push push) {
        if (!push.apart) {
            load.at(loud());
            silent -= push.silent || push.lost ? 1 : 0;
            flying--;
            push.to.flying -= push.lost ? 0 : 1;
            push.to.inFlight.remove(push);
            push.apart = true;
        }
        room = true;
    }

    private long overdueAfter(Push push) {
        return (long) (OVERDUE * push.op.kind.meanUs * Math.max(1, Math.min(4, push.to.slowness)));
    }

    private boolean lawful(Op op, Server s) {
        // One final answer, within the TTL and the push limit. Drains: nothing to what is draining or gone.
        boolean may = !op.over && op.begun == null && (op.coming || now < op.endUs) && s.listed
                && op.pushes.size() < (op.spent ? 1 : op.rule.most());
        return may && (op.out == 0 || op.rule.copies()) && repeatable(op, s) && coldRoom(s);
    }

    /** No effect twice. */
    private boolean repeatable(Op op, Server s) {
        Category c = op.is;
        return c.effect() == Effect.REDELIVERABLE || op.pushes.stream().filter(Push::risky)
                .allMatch(p -> c.effect() == Effect.DEDUPLICATED
                && (c.group() == Group.ALL || (c.group() == Group.ZONE ? p.to.is.zone().equals(s.is.zone())
                : p.to.is.cell() == s.is.cell()))
                && now - p.sentUs + PATH * behind(s) < REMEMBERED * c.windowUs());
    }

    /** How long a location owes an answer to what it was sent after all that it answered: what goes there now
     * may be as long on its way, and longer. One endpoint that hangs among others that answer is no sign. */
    private long behind(Server s) {
        List<Server> path = servers.values().stream().filter(o -> o.is.zone().equals(s.is.zone())).toList();
        long heard = path.stream().mapToLong(o -> o.answeredUs).max().orElse(0);
        return path.stream().flatMap(o -> o.inFlight.stream()).mapToLong(p -> p.sentUs).filter(t -> t > heard)
                .map(t -> now - t).max().orElse(0);
    }

    /** Our part of what a cold endpoint may be sent within a window; one op at a time until it answers. */
    private boolean coldRoom(Server s) {
        if (s.coldFromUs == 0 || now - s.coldFromUs >= cold.warmUpUs()) {
            s.coldFromUs = 0;
            return true;
        }
        double grown = Math.max(0, (double) (now - s.coldFromUs) / cold.warmUpUs());
        double share = cold.startShare() + (1 - cold.startShare()) * grown;
        double usual = answers.at(0) * cold.windowUs() / Math.max(1, near.size() + far.size());
        double budget = COLD_PART * cold.multiple() * share * Math.max(usual, FIRST_LIMIT / sidecars);
        if (now / cold.windowUs() != s.window) {
            s.window = now / cold.windowUs();
            s.sent = 0;
            s.lot = random.nextDouble(); // a floor of one push a sidecar would add up over hundreds of them
        }
        return s.flying < 1 + s.coldAnswers && s.sent + 1 <= budget + s.lot;
    }

    /** A push is out far longer than its kind takes: silence is evidence, and a copy may help. */
    private void overdue(Push push) {
        Op op = push.op;
        if (push.end != null || push.silent || op.begun != null) {
            return;
        }
        long after = overdueAfter(push);
        boolean late = now - push.sentUs >= after;
        if (late && push.to.lastAnswerUs <= Math.max(push.sentUs, now - after)) {
            failed(push);
            silent += push.lost ? 0 : 1; // it must not use up the bound of a sidecar with little traffic
            push.silent = true;
        } else { // it answers others: look again, it may fall silent yet
            long next = now - push.sentUs < lastChance(op) ? lastChance(op) - (now - push.sentUs) : after / 2;
            tasks.add(new Task(now + Math.min(after / 2, next), order++, push, null));
            if (late && !push.lost) { // dead connections alone would hold all of the bound till their TTLs
                push.lost = room = true;
                silent++;
                push.to.flying--;
                push.to.inFlight.remove(push);
            }
        }
        boolean risked = late || now - push.sentUs >= lastChance(op);
        if (risked && !op.over && op.out == 1 && spare >= 1 && bound(op) && push(op, pick(op), false)) {
            spare--;
        }
    }
}
