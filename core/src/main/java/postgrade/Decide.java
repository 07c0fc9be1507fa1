package postgrade;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import postgrade.State.*;

/**
 * All decisions of one gateway. The types, events and actions stand in Dispatcher.java.
 *
 * <p>Read from top to bottom: constants, a job's way in, choosing a worker, the gate, outcomes, health, the
 * list. docs/design.md says what is kept of the design, and when each departure from it acts.
 */
public final class Decide implements Dispatcher {

    private static final double SECOND = 1e9;
    /** A bucket holds so many seconds of its rate, to ride over bursts; demand is averaged over as long. */
    private static final double BURST_SECONDS = 2;
    /** The least burst: many gateways make a part of a rate so small that chance alone would empty it. */
    private static final double LEAST_BURST = 5;
    /** One key may take this part of all tenants' rates before its own bucket is empty. */
    private static final double KEY_SHARE = 0.5;
    /** Held and queued jobs are looked at this often; also the margin kept before a client gives up. */
    private static final long SWEEP_NS = 50_000_000L;
    /** An answer to a probe, or a start notice, that takes longer will not come soon. */
    private static final long ANSWER_NS = 40_000_000L;
    /** Part of the fleet left free by jobs beyond their share, more by costly ones; by those within it. */
    private static final double RESERVE = 0.35;
    private static final double RESERVE_COSTLY = 0.3;
    private static final double RESERVE_WITHIN = 0.1;
    /** Classes dearer than this wait here for visible room; cheaper ones go into a worker's queue at once. */
    private static final double COSTLY = 0.5;
    /** A report fades over this time to what reports usually say; it shows our own jobs with this lag. */
    private static final double REPORT_FADE_NS = 4 * SECOND;
    private static final double REPORT_LAG_NS = 0.5 * SECOND;
    /**
     * What the other gateways hold is taken for less while fewer than this part of our jobs have to wait:
     * they may be restarting, or their halls quiet.
     */
    private static final double USUAL_WAITS = 0.25;
    private static final double LEARN_OTHERS = 0.01;
    /** A worker not heard of for this long is probed first, with some others; the most for one job. */
    private static final double PROBE_AGE_NS = 2 * SECOND;
    private static final int PROBES = 3;
    /** How fast usual figures are learnt, and the most that one job tells of a pace. */
    private static final double LEARN = 0.05;
    private static final double MOST_PACE = 5;
    /** So many choices leave the job itself out: a worker that was slow or seems so is tried again. */
    private static final double EXPLORE = 0.1;
    /** A wait seen at a worker fades so fast; one where a job is later than this part of its aim is last. */
    private static final double WAIT_FADE_NS = 2 * SECOND;
    private static final double MARGIN = 0.8;
    private static final double LATE = 1e9;
    /** A failure average above this puts a worker last for jobs that may not be repeated. */
    private static final double SUSPECT = 0.1;
    /** A worker's own pace counts against its kind's as so many jobs; of its own the latest so many count. */
    private static final double PACE_PRIOR = 4;
    private static final double MOST_PACED = 20;
    /** Slots of a worker of mean size where none has shown any. */
    private static final double UNKNOWN_SLOTS = 5;
    /** Part of a cold worker's budget that is used, as jobs differ in length. */
    private static final double COLD_SAFETY = 0.9;
    /** How fast a worker's failure average moves, and where it is ejected; a healthy one stays far below. */
    private static final double LEARN_FAILURE = 0.2;
    private static final double EJECT_AT = 0.45;
    /** No further attempt for a job that fails for what it is, nor for one that so many workers broke off. */
    private static final double OWN_FAULT = 0.5;
    private static final int MOST_RESETS = 2;
    private static final long EJECT_NS = 1_500_000_000L;
    /** At most this part of the ready workers is ejected, or the rest would drown. */
    private static final double MOST_EJECTED = 0.4;
    /** Retry budget, earned by served jobs; and what a move costs a lone gateway of it, many their part. */
    private static final double RETRY_EARN = 0.3;
    private static final double RETRY_MOST = 8;
    private static final double MOVE_COST = 50;
    /** Wait before the list is asked for again, and for a client where no worker has room. */
    private static final long AGAIN_NS = 500_000_000L;
    /** Ejections and the wait before asking again double at most so often. */
    private static final int DOUBLINGS = 3;
    /** Where only draining binds, an older list may name a drained worker again for so long. */
    private static final long DRAIN_MEMORY_NS = 60_000_000_000L;
    /** No start notice in so many running times of the dearest class: the job will not start. */
    private static final double LOST_AFTER = 2;
    private static final String SWEEP = "sweep";
    private static final String ASK = "ask";

    private Settings set;
    private final Actions out;
    private final SplittableRandom random;
    private final Map<String, ClassState> classes = new HashMap<>();
    private final Map<String, Double> tenantRates = new HashMap<>();
    private double allRates;
    private final Table<Bucket> tenantBuckets;
    private final Table<Bucket> keyBuckets;
    private final Map<String, Kind> kinds = new HashMap<>();
    private final Map<String, Node> nodes = new TreeMap<>();
    private final List<Node> ready = new ArrayList<>();
    private final Map<String, Held> jobs = new LinkedHashMap<>();
    private double dearestNs = State.UNKNOWN_NS;
    private double meanWeight = 1;
    private boolean reported;
    private final Fading slotTimeServed = new Fading();
    private double usualRoom = 1;
    private double others = 1;
    private double share = 1;
    private double retryBudget = RETRY_MOST;
    private double allFailures;
    private boolean sweeping;
    private long askAgainNs = AGAIN_NS;
    private long bootNs = -1;

    public Decide(Settings settings, long seed, Actions actions) {
        out = actions;
        random = new SplittableRandom(seed);
        tenantBuckets = new Table<>(settings.tableSize);
        keyBuckets = new Table<>(settings.tableSize);
        settings(0, settings);
    }

    /** Buckets, counts and what was learnt stay; jobs under way hold the class that they came with. */
    @Override
    public void settings(long nowNs, Settings settings) {
        set = settings;
        Map<String, ClassState> former = Map.copyOf(classes);
        classes.clear();
        settings.classes.forEach(c -> classes.put(c.name(), new ClassState(c, former.get(c.name()))));
        tenantRates.clear();
        settings.tenants.forEach(t -> tenantRates.put(t.name(), t.ratePerS() / settings.gateways));
        allRates = tenantRates.values().stream().mapToDouble(r -> r).sum();
    }

    // ---- A job's way in: buckets first, then a worker.

    @Override
    public void job(long nowNs, Job job) {
        ClassState cls = classes.get(job.jobClass());
        if (cls == null) {
            throw new IllegalArgumentException("unknown class " + job.jobClass());
        }
        Held h = new Held(job, cls, nowNs, set.maxAttempts);
        if (jobs.putIfAbsent(job.id(), h) != null) {
            return; // One id, one life: the first job under it still owes its answer.
        }
        long emptyFor = charge(nowNs, job);
        h.withinShare = emptyFor == 0;
        h.retryAfterNs = h.withinShare ? AGAIN_NS : emptyFor;
        if (!leavesReserve(nowNs, h) || !probeFirst(nowNs, h)) {
            place(nowNs, h);
        }
        sweepLater();
    }

    /** Charges every bucket of the job, also when one of them is empty. Returns how long one stays empty. */
    private long charge(long nowNs, Job job) {
        Double rate = tenantRates.get(job.tenant());
        long emptyFor = rate == null ? 0 : take(tenantBuckets, job.tenant(), rate * share, nowNs);
        if (job.key() != null && allRates > 0) {
            emptyFor = Math.max(emptyFor, take(keyBuckets, job.key(), allRates * KEY_SHARE * share, nowNs));
        }
        return emptyFor;
    }

    /** Takes a token; returns 0, or how long until there will be one. */
    private static long take(Table<Bucket> table, String name, double ratePerS, long nowNs) {
        double burst = Math.max(LEAST_BURST, ratePerS * BURST_SECONDS);
        Bucket b = table.computeIfAbsent(name, k -> new Bucket(burst, nowNs));
        double seconds = (nowNs - b.atNs) / SECOND;
        b.atNs = nowNs;
        b.demandPerS = b.demandPerS * Math.exp(-seconds / BURST_SECONDS) + 1 / BURST_SECONDS;
        b.tokens = Math.min(burst, b.tokens + seconds * ratePerS);
        if (b.tokens < 1) {
            return Math.max(1, (long) ((1 - b.tokens) / ratePerS * SECOND));
        }
        b.tokens -= 1;
        return 0;
    }

    /**
     * Which of a tenant's jobs lie within its share is not told, so a strict bucket refuses worthy ones too.
     * A job may overdraw while the fleet has room beyond a reserve. Costly classes leave more, within their
     * share a little, or they fill a jammed fleet and the cheap ones find it full. Old reports count as the
     * mean here: anything above, and at size all excess looks welcome.
     */
    private boolean leavesReserve(long nowNs, Held h) {
        double reserve = RESERVE_WITHIN * costly(h.cls);
        if (!h.withinShare) {
            Bucket b = tenantBuckets.get(h.job.tenant());
            // The part of the tenant's jobs beyond its share here: near 0 where only the split is uneven.
            double rate = tenantRates.getOrDefault(h.job.tenant(), 0.0);
            double overuse = b == null ? 1 : Math.max(0, 1 - rate * share / b.demandPerS);
            reserve = overuse * (RESERVE + RESERVE_COSTLY * costly(h.cls));
        }
        double fleet = 0;
        double free = 0;
        for (Node n : ready) {
            fleet += slots(n);
            free += n.ejectedUntilNs > nowNs ? 0 : Math.max(0, room(nowNs, n, usualRoom));
        }
        if (!reported && fleet > 0) {
            // No report tells of the other gateways' jobs: they hold an even share each, as we do, or less.
            double theirs = others * (set.gateways - 1) * slotTimeServed.perSecond(nowNs);
            usualRoom = Math.max(0, 1 - theirs / fleet);
        }
        return free >= fleet * reserve;
    }

    /** How dear a class's worth is in running time: 0 for the cheapest class, towards 1 for dear ones. */
    private double costly(ClassState cls) {
        double cheapest = classes.values().stream().mapToDouble(Decide::costPerWorth).min().orElse(0);
        return 1 - cheapest / costPerWorth(cls);
    }

    private static double costPerWorth(ClassState cls) {
        return cls.meanNs / cls.is.worth();
    }

    /**
     * Sends the job where there is room, within its share also where there may be. Else it waits for the next
     * sweep, until the hope of being in time is gone; a job beyond its share does not wait.
     */
    private void place(long nowNs, Held h) {
        boolean mayGo = h.sent > 0 || leavesReserve(nowNs, h);
        boolean anyRoom = mayGo && h.withinShare && costly(h.cls) < COSTLY;
        Node n = !mayGo || anyRoom && h.job.key() == null ? null : pick(nowNs, h, true);
        if (n == null && anyRoom) {
            n = pick(nowNs, h, false);
        }
        if (n != null) {
            send(nowNs, h, n);
        } else if (h.sent >= set.maxAttempts || !h.withinShare && mayRefuse(h)
                || nowNs - h.arrivedNs >= h.cls.is.aimNs() || lastChance(nowNs, h)) {
            conclude(nowNs, h);
        }
    }

    /** The next sweep may come too late for a final answer. A client's last try can start so near its end. */
    private static boolean lastChance(long nowNs, Held h) {
        return h.deadlineNs - nowNs <= 2 * SWEEP_NS;
    }

    // ---- Choosing a worker.

    /**
     * With many gateways nearly all workers tie at no job of ours, and what is known of them is old: some
     * of the ties are probed, and the first that answers with room gets the job. Waiting for all answers and
     * taking the best would send all gateways to the same workers. Where nothing reports, none is granted.
     */
    private boolean probeFirst(long nowNs, Held h) {
        Node first = set.mayProbe && !lastChance(nowNs, h) ? pick(nowNs, h, false) : null;
        if (first == null || nowNs - first.roomAtNs < PROBE_AGE_NS && !Double.isNaN(first.room)) {
            return false;
        }
        for (Node n = first; n != null && h.asked < PROBES; n = pick(nowNs, h, false)) {
            h.asked++;
            n.askers.add(h);
            out.probe(n.id);
        }
        h.askedNs = nowNs;
        return true;
    }

    @Override
    public void probed(long nowNs, String workerId, boolean answered, Load load) {
        Node n = nodes.get(workerId);
        Held h = n == null ? null : n.askers.poll();
        if (n != null && answered) {
            report(nowNs, n, load);
        }
        if (h == null || h.answered || h.asked == 0) {
            return;
        }
        boolean fits = answered && able(nowNs, h, n) && fits(nowNs, h, n);
        h.asked = fits ? 0 : h.asked - 1;
        if (fits) {
            send(nowNs, h, n);
        } else if (h.asked == 0) {
            place(nowNs, h);
        }
    }

    /**
     * The able worker with fewest of our jobs for its size, this one and what it would wait for included; now
     * and then, and of equal ones, one at random. A job with a key goes to the first worker with room in the
     * key's own order: one that lacks the key's data must fetch it first, which no count of jobs shows.
     */
    private Node pick(long nowNs, Held h, boolean needsRoom) {
        boolean byKey = needsRoom && h.job.key() != null;
        long keyHash = byKey ? State.mix(h.job.key().hashCode()) : 0;
        boolean once = h.cls.is.effect() == Effect.UNSAFE;
        boolean explores = random.nextDouble() < EXPLORE;
        Node fewest = null;
        double least = Double.MAX_VALUE;
        double ties = 0;
        for (Node n : ready) {
            if (!able(nowNs, h, n) || needsRoom && !fits(nowNs, h, n) && (!n.untried || once)) {
                continue;
            }
            if (n.untried && !once) {
                return n; // Cold it never looks best, and would be left unused.
            }
            double size = slots(n) * warmth(nowNs, n) / pace(n) / (1 + n.kind.waitedNs / h.cls.meanNs);
            // A full answer comes at once and leaves none of our jobs there: fewest alone would feed it more.
            double full = slots(n) * (1 - Math.min(1, (nowNs - n.fullNs) / dearestNs));
            double load = byKey ? rank(keyHash, n) : Math.max(n.own, full) / size;
            if (!byKey && !explores) {
                load += waitNs(nowNs, n) / h.cls.meanNs / size + (tooLate(nowNs, h, n) ? LATE : 0);
                load += once && n.failures > SUSPECT ? LATE : 0;
            }
            // What few gateways may send must come from these few.
            double chance = warmth(nowNs, n) < 1 ? size * set.gateways / coldSenders(nowNs, n) : size;
            ties = load < least ? chance : load == least ? ties + chance : ties;
            if (load < least || load == least && random.nextDouble() * ties < chance) {
                fewest = n;
                least = load;
            }
        }
        return fewest;
    }

    /** An idle worker that is slow, or one whose queue is long, may hold the fewest and yet be of no use. */
    private boolean tooLate(long nowNs, Held h, Node n) {
        double aimNs = h.cls.is.aimNs() + h.cls.is.aimStretch() * h.cls.meanNs;
        return nowNs - h.arrivedNs + waitNs(nowNs, n) + h.cls.meanNs * pace(n) > MARGIN * aimNs;
    }

    /** How long a job would wait there before it starts, by what the latest ones did; old news fades. */
    private double waitNs(long nowNs, Node n) {
        double keep = Math.exp((n.waitedAtNs - nowNs) / WAIT_FADE_NS);
        return n.waitedNs * keep + (warmth(nowNs, n) < 1 ? 0 : n.kind.waitedNs * (1 - keep));
    }

    private static void waited(long nowNs, Node n, double ns) {
        n.waitedNs = ns;
        n.waitedAtNs = nowNs;
    }

    /** Rendezvous hashing by size: every gateway ranks the workers alike for a key; the lowest is first. */
    private double rank(long keyHash, Node n) {
        double unit = ((State.mix(keyHash ^ n.hash) >>> 11) + 0.5) * 0x1p-53;
        return -Math.log(unit) / slots(n);
    }

    private boolean able(long nowNs, Held h, Node n) {
        boolean justTried = h.sent > 0 && h.attempts[h.sent - 1].node == n && ready.size() > 1;
        boolean asked = h.sent == 0 && h.askedNs == 0 && h.asked > 0 && n.askers.contains(h);
        return n.ejectedUntilNs <= nowNs && !justTried && !asked && maySend(nowNs, h, n);
    }

    private boolean fits(long nowNs, Held h, Node n) {
        return room(nowNs, n, (1 + usualRoom) / 2) >= h.job.slots()
                && n.memory + h.job.memory() <= Math.max(slots(n), h.job.memory());
    }

    /**
     * Free slots, as far as reports tell; an old one fades to a usual part. Where nothing reports,
     * a full answer holds only until a job there may have ended.
     */
    private double room(long nowNs, Node n, double usualPart) {
        double usual = slots(n) * warmth(nowNs, n) * usualPart;
        double fadeNs = reported ? REPORT_FADE_NS : dearestNs;
        double age = Double.isNaN(n.room) ? 1 : Math.min(1, (nowNs - n.roomAtNs) / fadeNs);
        return (age == 1 ? usual : n.room + (usual - n.room) * age) - n.used;
    }

    /** As reports have shown; without any, by the size that the list announces, which counts speed too. */
    private double slots(Node n) {
        double part = n.info.weight() > 0 ? n.info.weight() / meanWeight : 1;
        return n.kind.slots > 0 ? n.kind.slots : UNKNOWN_SLOTS * part;
    }

    /** How long jobs run there, relative to the mean: as its kind's do, until enough are known. */
    private static double pace(Node n) {
        return (n.kind.pace * PACE_PRIOR + n.pace * n.paced) / (PACE_PRIOR + n.paced);
    }

    /** The part of its work that a worker can do for sure, by the time since its start. */
    private double warmth(long nowNs, Node n) {
        if (n.bornNs == 0 || nowNs - n.bornNs >= set.warmWithinNs) {
            return 1;
        }
        return set.coldShare + (1 - set.coldShare) * Math.max(0, nowNs - n.bornNs) / set.warmWithinNs;
    }

    // ---- The gate: every attempt and every final answer passes here, and only here are the rules kept.

    private boolean maySend(long nowNs, Held h, Node n) {
        if (h.answered || h.sent >= set.maxAttempts || nowNs >= h.deadlineNs
                || h.out > 0 && !set.mayDuplicate) {
            return false;
        }
        if (!n.ready || h.cls.is.kind() != null && !h.cls.is.kind().equals(n.info.kind())) {
            return false;
        }
        Attempt first = h.cls.is.effect() == Effect.SAFE ? null : firstThatMayHaveRun(h);
        if (first != null && (h.cls.is.effect() == Effect.UNSAFE
                || !h.cls.is.group().shared(first.node.info, n.info)
                || nowNs + SWEEP_NS >= first.sentNs + h.cls.is.windowNs())) {
            return false;
        }
        return warmth(nowNs, n) >= 1 || coldCost(h, n) <= coldBudget(nowNs, n);
    }

    private boolean mayRefuse(Held h) {
        Effect effect = h.cls.is.effect();
        boolean harmless = effect == Effect.SAFE || effect == Effect.KEYED && h.cls.is.group() == Group.ALL;
        return !h.answered && (harmless || firstThatMayHaveRun(h) == null);
    }

    /** The earliest attempt not proved never to have run; later ones stay within its group. */
    private static Attempt firstThatMayHaveRun(Held h) {
        for (int i = 0; i < h.sent; i++) {
            if (!h.attempts[i].ended || !h.attempts[i].neverRan) {
                return h.attempts[i];
            }
        }
        return null;
    }

    /**
     * What is left of this gateway's part of what all may send to a cold worker in one window. An even part
     * of many gateways is under one job, so only as many send as can send the dearest job each, more as the
     * worker warms. What was sent before a restart is forgotten, so one window passes first.
     */
    private double coldBudget(long nowNs, Node n) {
        int senders = coldSenders(nowNs, n);
        boolean sends = Math.floorMod(set.gateway + n.hash, set.gateways) < senders;
        return sends && nowNs - bootNs >= set.fallNs
                ? share * coldForAll(nowNs, n) / senders - n.coldSpent(nowNs - set.fallNs) : 0;
    }

    private int coldSenders(long nowNs, Node n) {
        double jobs = coldForAll(nowNs, n) / (dearestNs * n.kind.pace);
        return (int) Math.max(1, Math.min(set.gateways, jobs));
    }

    private double coldForAll(long nowNs, Node n) {
        return COLD_SAFETY * set.fallMultiple * warmth(nowNs, n) * slots(n) * set.fallNs;
    }

    private static double coldCost(Held h, Node n) {
        return h.job.slots() * h.cls.meanNs * n.kind.pace;
    }

    private void send(long nowNs, Held h, Node n) {
        if (!maySend(nowNs, h, n)) {
            return;
        }
        if (warmth(nowNs, n) < 1) {
            n.spendCold(nowNs, coldCost(h, n));
        }
        n.untried = false;
        n.averageUsed(nowNs, REPORT_LAG_NS);
        h.begin(nowNs, n);
        out.send(h.job.id(), n.id, 0);
    }

    /** The final answer: a refusal where trying again is harmless, a failure otherwise. */
    private void conclude(long nowNs, Held h) {
        if (mayRefuse(h) && nowNs < h.deadlineNs) {
            out.refuse(h.job.id(), Math.min(h.retryAfterNs, set.maxRetryAfterNs));
        } else if (!h.answered) {
            out.fail(h.job.id());
        }
        h.answered = true;
        release(h);
    }

    /** Calls off what still runs for an answered job, and forgets it when nothing does. */
    private void release(Held h) {
        for (int i = 0; i < h.sent; i++) {
            callOff(h, i);
        }
        if (h.out == 0) {
            jobs.remove(h.job.id());
        }
    }

    private void callOff(Held h, int attempt) {
        Attempt a = h.attempts[attempt];
        if (!a.ended && !a.called && set.mayCancel) {
            a.called = true;
            out.cancel(h.job.id(), attempt);
        }
    }

    // ---- Outcomes and notices. What concerns an ended attempt or an unknown job is left alone.

    @Override
    public void started(long nowNs, String jobId, int attempt) {
        Attempt a = Held.running(jobs.get(jobId), attempt);
        if (a != null && a.startedNs < 0) {
            a.start(nowNs);
            waited(nowNs, a.node, nowNs - a.sentNs);
            a.node.kind.waitedNs += LEARN * (nowNs - a.sentNs - a.node.kind.waitedNs);
            double waits = nowNs - a.sentNs > ANSWER_NS ? 1 : 0;
            others = Math.max(0, Math.min(1, others + LEARN_OTHERS * (waits / USUAL_WAITS - 1)));
        }
    }

    @Override
    public void streaming(long nowNs, String jobId, int attempt) {
        started(nowNs, jobId, attempt);
        Attempt a = Held.running(jobs.get(jobId), attempt);
        if (a != null) {
            a.held.streaming = true;
        }
    }

    @Override
    public void finished(long nowNs, String jobId, int attempt, Outcome outcome, boolean last, Load load) {
        Attempt a = Held.running(jobs.get(jobId), attempt);
        if (a == null) {
            return;
        }
        Held h = a.held;
        a.node.averageUsed(nowNs, REPORT_LAG_NS);
        h.end(a, outcome.provesNotRun());
        report(nowNs, a.node, load);
        judge(nowNs, a, outcome);
        h.answered |= last;
        if (h.answered) {
            release(h);
        } else if (h.out == 0) {
            next(nowNs, h, a, outcome);
        }
    }

    /** No attempt is out and the client still waits: another attempt, or the final answer. */
    private void next(long nowNs, Held h, Attempt a, Outcome outcome) {
        // Not sent to a worker that is leaving says nothing of the job: another worker may take it.
        boolean moot = outcome == Outcome.NOT_SENT && a.node.ready;
        boolean over = h.deadlineNs - nowNs <= SWEEP_NS || moot || h.streaming
                || !a.neverRan && (h.cls.is.effect() == Effect.UNSAFE || ownFault(h) > OWN_FAULT)
                || outcome == Outcome.RESET && ++h.resets == MOST_RESETS;
        boolean paid = a.neverRan || a.called && outcome == Outcome.CANCELLED;
        if (over || !paid && !spendRetry()) {
            conclude(nowNs, h);
        } else {
            place(nowNs, h);
        }
    }

    /** Attempts that may run a job twice are bounded by what was served, so that they never feed a jam. */
    private boolean spendRetry() {
        return retryBudget >= 1 && retryBudget-- >= 1;
    }

    private void report(long nowNs, Node n, Load load) {
        double free = load.freeSlots();
        if (free >= 0 && free < 1e6) {
            n.averageUsed(nowNs, REPORT_LAG_NS);
            n.room = free + n.usedAverage;
            n.roomAtNs = nowNs;
            reported = true;
            usualRoom += LEARN * (Math.min(1, n.room / slots(n)) - usualRoom);
            if (free > n.kind.slots) {
                n.kind.slots += n.kind.slots == 0 ? free : 0.3 * (free - n.kind.slots);
            }
        }
    }

    // ---- Health.

    private void judge(long nowNs, Attempt a, Outcome outcome) {
        Node n = a.node;
        switch (outcome) {
            case SERVED -> {
                blame(a.held, 0);
                retryBudget = Math.min(RETRY_MOST, retryBudget + RETRY_EARN);
                learn(nowNs, a);
                n.failures *= 1 - LEARN_FAILURE;
                n.ejections = 0;
            }
            case FULL -> {
                n.room = n.used;
                n.roomAtNs = nowNs;
                n.fullNs = nowNs;
            }
            case CANCELLED, NOT_SENT -> { }
            case UNREACHABLE -> eject(nowNs, n);
            default -> {
                blame(a.held, 1);
                fail(nowNs, n, a.lost ? 0 : 1 - ownFault(a.held));
            }
        }
    }

    private void fail(long nowNs, Node n, double fault) {
        n.failures += LEARN_FAILURE * Math.max(0, fault - n.failures);
        if (n.failures > EJECT_AT) {
            eject(nowNs, n);
        }
    }

    private void blame(Held h, double failed) {
        allFailures += LEARN * (failed - allFailures);
        h.cls.failures += LEARN * (failed - h.cls.failures);
        Bucket b = tenantBuckets.get(h.job.tenant());
        if (b != null) {
            b.failures += LEARN * (failed - b.failures);
        }
    }

    /**
     * How far a failure is the job's own: 1 where its tenant's or its class's jobs alone fail. One tenant's
     * bad release or data fails at every worker it meets, and none is to be ejected for it. Where all fail
     * alike it is 0. It might shield a worker that is sick for one class only.
     */
    private double ownFault(Held h) {
        Bucket b = tenantBuckets.get(h.job.tenant());
        double own = Math.max(h.cls.failures, b == null ? 0 : b.failures);
        return Math.max(0, own - allFailures) / Math.max(LEARN, 1 - allFailures);
    }

    /** Learns how long jobs of the class run (a first one of no time must not make it free), and paces. */
    private void learn(long nowNs, Attempt a) {
        ClassState cls = a.held.cls;
        double ran = nowNs - (a.startedNs >= 0 ? a.startedNs : a.sentNs);
        cls.meanNs += Math.max(LEARN, 1.0 / (++cls.served + 1)) * (ran - cls.meanNs);
        dearestNs = classes.values().stream().mapToDouble(c -> c.meanNs).max().orElse(0);
        double pace = Math.max(1 / MOST_PACE, Math.min(MOST_PACE, ran / Math.max(1, cls.meanNs)));
        a.node.kind.pace += Math.max(LEARN, 1.0 / (++a.node.kind.served + 1)) * (pace - a.node.kind.pace);
        a.node.paced = Math.min(MOST_PACED, a.node.paced + 1);
        a.node.pace += (pace - a.node.pace) / a.node.paced;
        slotTimeServed.add(nowNs, ran / SECOND * a.held.job.slots());
    }

    private void eject(long nowNs, Node n) {
        long ejected = ready.stream().filter(other -> other.ejectedUntilNs > nowNs).count();
        if (n.ejectedUntilNs <= nowNs && ejected + 1 <= ready.size() * MOST_EJECTED) {
            n.ejectedUntilNs = nowNs + (EJECT_NS << Math.min(n.ejections++, DOUBLINGS));
        }
    }

    // ---- Time.

    @Override
    public void timer(long nowNs, String token) {
        if (token.equals(ASK)) {
            out.watch();
        } else if (token.equals(SWEEP)) {
            sweeping = false;
            for (Held h : new ArrayList<>(jobs.values())) {
                boolean asking = h.asked > 0 && nowNs - h.askedNs < ANSWER_NS && !lastChance(nowNs, h);
                if (h.out == 1 && set.tellsStart && nowNs < h.deadlineNs) {
                    lookAfterUnstarted(nowNs, h);
                } else if (!h.answered && !h.streaming && nowNs >= h.deadlineNs) {
                    conclude(nowNs, h);
                } else if (!h.answered && h.out == 0 && !asking) {
                    h.asked = 0;
                    place(nowNs, h);
                }
            }
            sweepLater();
        }
    }

    private void sweepLater() {
        if (!sweeping && !jobs.isEmpty()) {
            sweeping = true;
            out.timer(SWEEP, SWEEP_NS);
        }
    }

    /**
     * A repeatable job that has not started within half its aim moves once another worker shows room. Sooner,
     * and it leaves queues that are in time. Some workers run what was called off all the same, which no
     * setting tells: few gateways place well, seeing much of what a worker holds, and may hardly move.
     *
     * <p>One not started when those before it must have ended was swallowed. It counts no longer as held, or
     * a worker that loses a few jobs stands idle while others are full; it counts as a failure, so that one
     * that loses all is ejected long before time-outs tell.
     */
    private void lookAfterUnstarted(long nowNs, Held h) {
        Attempt a = h.attempts[h.sent - 1];
        if (a.ended || a.startedNs >= 0) {
            return;
        }
        double moveCost = 1 + MOVE_COST / set.gateways;
        if (!a.lost) {
            waited(nowNs, a.node, Math.max(waitNs(nowNs, a.node), nowNs - a.sentNs));
        }
        boolean movable = !a.called && set.mayCancel && h.cls.is.effect() != Effect.UNSAFE;
        if (movable && nowNs - a.sentNs >= Math.max(ANSWER_NS, h.cls.is.aimNs() / 2)
                && retryBudget >= moveCost && pick(nowNs, h, true) != null) {
            retryBudget -= moveCost;
            callOff(h, h.sent - 1);
        } else if (!a.lost && nowNs - a.sentNs > LOST_AFTER * dearestNs) {
            h.lose(a);
            waited(nowNs, a.node, 0); // It stands in no queue.
            fail(nowNs, a.node, 1);
        }
    }

    // ---- Another process of this gateway, while one takes the other's place.

    @Override
    public void share(long nowNs, double part) {
        double keep = Math.min(1, part / share); // The rest of the tokens is the other's now.
        tenantBuckets.values().forEach(b -> b.tokens *= keep);
        keyBuckets.values().forEach(b -> b.tokens *= keep);
        share = part;
    }

    @Override
    public List<Learnt> learnt(long nowNs) {
        return Experience.tell(nowNs, classes, kinds, nodes, tenantBuckets, keyBuckets);
    }

    @Override
    public void learn(long nowNs, List<Learnt> all) {
        Experience.take(nowNs, all, share, classes, kinds, nodes, tenantBuckets, keyBuckets);
        dearestNs = classes.values().stream().mapToDouble(c -> c.meanNs).max().orElse(dearestNs);
    }

    /** Put back by an operator, restarted. It owes one trial: others look better while it is cold. */
    @Override
    public void recalled(long nowNs, String workerId) {
        Node n = nodes.get(workerId);
        if (n != null) {
            n.forget();
            n.untried = true;
        }
    }

    @Override
    public void abandoned(long nowNs, String jobId) {
        Held h = jobs.get(jobId);
        if (h != null) {
            h.answered = true;
            release(h);
        }
    }

    // ---- The worker list.

    @Override
    public void list(long nowNs, ListForm form, List<Worker> workers) {
        bootNs = bootNs < 0 ? nowNs : bootNs;
        if (form == ListForm.ERROR) {
            out.timer(ASK, askAgainNs / 2 + random.nextLong(askAgainNs));
            askAgainNs = Math.min(AGAIN_NS << DOUBLINGS, askAgainNs * 2);
            return;
        }
        if (form == ListForm.STORED && set.asksForList) {
            out.watch();
        } else {
            askAgainNs = AGAIN_NS;
        }
        if (form != ListForm.CHANGES) {
            nodes.values().forEach(this::unlist);
        }
        for (Worker w : workers) {
            if (w.phase() == Phase.GONE) {
                unlist(nodes.get(w.id()));
                continue;
            }
            Kind kind = kinds.computeIfAbsent(w.kind(), k -> new Kind());
            Node n = nodes.computeIfAbsent(w.id(), k -> new Node(k, kind));
            n.info = w;
            boolean newStart = w.bornNs() > n.bornNs;
            if (w.phase() == Phase.DRAINING) {
                n.ready = false;
                n.drainedNs = nowNs;
            } else if (newStart || n.drainedNs == 0 || !set.droppedStayOpen) {
                n.ready = true;
                n.drainedNs = 0;
            }
            n.listed = n.ready;
            if (newStart) {
                n.bornNs = w.bornNs();
                n.room = Double.NaN;
            }
        }
        nodes.values().removeIf(n -> n.own == 0 && (n.ready ? !n.listed && n.ejections > DOUBLINGS
                : !set.droppedStayOpen || n.drainedNs == 0 || nowNs - n.drainedNs > DRAIN_MEMORY_NS));
        ready.clear();
        nodes.values().stream().filter(n -> n.ready).forEach(ready::add);
        meanWeight = ready.stream().mapToDouble(n -> n.info.weight()).filter(w -> w > 0).average().orElse(1);
    }

    /**
     * A list may be wrong: empty, old, or calling gone what serves. Where only draining binds, a dropped
     * worker stays open until failed connections eject it; several in a row make it forgotten. Its drain is
     * kept too, or an old list would undo it. It would hurt where workers vanish and attempts just hang.
     */
    private void unlist(Node n) {
        if (n != null) {
            n.listed = false;
            n.ready &= set.droppedStayOpen;
        }
    }
}
