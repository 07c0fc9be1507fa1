package postgrade.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.Job;
import postgrade.policy.api.JobClass;
import postgrade.policy.api.LoadReport;
import postgrade.policy.api.PolicyActions;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerListUpdateType;
import postgrade.policy.api.WorkerPhase;

/**
 * Many gateways that know nothing of each other over workers with queues, on virtual time, by a
 * seed.
 */
final class FleetSimulation {

    static final long MS = 1_000_000L;
    static final long SECOND = 1_000 * MS;

    /** One call that came to a worker: when, and how long it runs at full pace. */
    record Call(long atNs, double workNs) {}

    private record Event(long atNs, long order, Runnable does) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return atNs != o.atNs ? Long.compare(atNs, o.atNs) : Long.compare(order, o.order);
        }
    }

    /** Runs first what came first, in so many slots; while cold more slowly. */
    final class Machine {
        final String id;
        final int slots;
        long bornNs;
        int running;
        final ArrayDeque<Runnable> queue = new ArrayDeque<>();
        final List<Call> calls = new ArrayList<>();

        Machine(String id, int slots) {
            this.id = id;
            this.slots = slots;
        }

        double warmth(long nowNs) {
            return bornNs == 0
                    ? 1
                    : Math.min(
                            1,
                            set.slowStartInitialShare
                                    + (1 - set.slowStartInitialShare)
                                            * Math.max(0, nowNs - bornNs)
                                            / set.slowStartNs);
        }

        void restart() {
            bornNs = now;
            queue.clear(); // What it held ends with it, and its gateways hear of no end: their
            // limit tells them.
            calls.clear();
        }

        WorkerInfo listed() {
            return new WorkerInfo(id, "z", "k", 0, WorkerPhase.READY, 1, bornNs);
        }
    }

    private final class Gateway implements PolicyActions {
        final int index;
        TokenBucketDispatchPolicy module;

        Gateway(int index) {
            this.index = index;
            begin(WorkerListUpdateType.FULL);
        }

        void begin(WorkerListUpdateType form) {
            module = new TokenBucketDispatchPolicy(settings(index), random.nextLong(), this);
            list(form);
        }

        void list(WorkerListUpdateType form) {
            module.workersUpdated(
                    now, form, machines.values().stream().map(Machine::listed).toList());
        }

        @Override
        public void startAttempt(String jobId, String workerId, long limitNs) {
            TokenBucketDispatchPolicy by = module;
            int attempt = attempts.merge(jobId, 1, Integer::sum) - 1;
            Machine m = machines.get(workerId);
            double work = work(jobId);
            m.calls.add(new Call(now, work));
            long born = m.bornNs;
            Runnable runs =
                    () -> {
                        m.running++;
                        by.attemptStarted(now, jobId, attempt);
                        at(
                                now + (long) (work / m.warmth(now)),
                                () -> {
                                    if (m.bornNs == born) {
                                        m.running--;
                                        by.attemptFinished(
                                                now,
                                                jobId,
                                                attempt,
                                                AttemptOutcome.SERVED,
                                                true,
                                                LoadReport.NONE);
                                        if (!m.queue.isEmpty()) {
                                            m.queue.poll().run();
                                        }
                                    }
                                });
                    };
            // After the module's own turn, as over a network.
            at(
                    now + MS,
                    () -> {
                        if (m.running < m.slots) {
                            runs.run();
                        } else {
                            m.queue.add(runs);
                        }
                    });
        }

        @Override
        public void cancelAttempt(String jobId, int attempt) {
            // Workers run what was called off all the same, in the worst case.
            TokenBucketDispatchPolicy by = module;
            at(
                    now + MS,
                    () ->
                            by.attemptFinished(
                                    now,
                                    jobId,
                                    attempt,
                                    AttemptOutcome.CANCELLED,
                                    false,
                                    LoadReport.NONE));
        }

        @Override
        public void reject(String jobId, long retryAfterNs) {
            refused++;
        }

        @Override
        public void fail(String jobId) {
            refused++;
        }

        @Override
        public void probe(String workerId) {}

        @Override
        public void startTimer(String token, long inNs) {
            TokenBucketDispatchPolicy by = module;
            at(now + inNs, () -> by.timerFired(now, token));
        }

        @Override
        public void watchWorkers() {}
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final SplittableRandom random;
    private final PolicySettings set;
    private final java.util.function.IntFunction<PolicySettings> settings;
    private final Map<String, Double> meansNs;
    private final double cv;
    final Map<String, Machine> machines = new HashMap<>();
    private final List<Gateway> gateways = new ArrayList<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final Map<String, Double> works = new HashMap<>();
    private long order;
    private long jobs;
    long refused;
    long now;

    /**
     * @param settings of each gateway, by its number
     * @param meansNs how long jobs of each class run on the mean
     * @param cv their deviation over their mean, lognormal
     */
    FleetSimulation(
            long seed,
            java.util.function.IntFunction<PolicySettings> settings,
            int workers,
            int slots,
            Map<String, Double> meansNs,
            double cv) {
        random = new SplittableRandom(seed);
        this.settings = settings;
        set = settings.apply(0);
        this.meansNs = meansNs;
        this.cv = cv;
        for (int i = 0; i < workers; i++) {
            machines.put("w" + i, new Machine("w" + i, slots));
        }
        for (int i = 0; i < set.dispatcherCount; i++) {
            gateways.add(new Gateway(i));
        }
    }

    private PolicySettings settings(int index) {
        return settings.apply(index);
    }

    private double work(String jobId) {
        return works.get(jobId);
    }

    void at(long atNs, Runnable does) {
        events.add(new Event(atNs, order++, does));
    }

    /** Jobs from now on until then, at random times; some gateways get several times the mean. */
    void load(double perSecond, long untilNs) {
        long next = now + (long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND);
        if (next < untilNs) {
            at(
                    next,
                    () -> {
                        job();
                        load(perSecond, untilNs);
                    });
        }
    }

    private void job() {
        JobClass c = set.classes.get(random.nextInt(set.classes.size()));
        String id = "j" + jobs++;
        double sigma2 = Math.log(1 + cv * cv);
        works.put(id, meansNs.get(c.name()) * Math.exp(Math.sqrt(sigma2) * gauss() - sigma2 / 2));
        double at = random.nextDouble();
        Gateway g = gateways.get((int) (at * at * gateways.size()));
        g.module.jobArrived(now, new Job(id, c.name(), "t", null, 5 * SECOND, 1, 0));
    }

    private double gauss() {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
                * Math.cos(2 * Math.PI * random.nextDouble());
    }

    /** The worker's process starts anew; each gateway hears of it within this time. */
    void restart(String worker, long toldWithinNs) {
        machines.get(worker).restart();
        for (Gateway g : gateways) {
            at(now + random.nextLong(toldWithinNs), () -> g.list(WorkerListUpdateType.DELTA));
        }
    }

    /** So large a part of the gateways begins again with nothing but the list. */
    void restartGateways(double part) {
        gateways.stream()
                .filter(g -> random.nextDouble() < part)
                .forEach(g -> g.begin(WorkerListUpdateType.CACHED));
    }

    void run(long untilNs) {
        while (!events.isEmpty() && events.peek().atNs <= untilNs) {
            Event e = events.poll();
            now = e.atNs;
            e.does.run();
        }
        now = untilNs;
    }
}
