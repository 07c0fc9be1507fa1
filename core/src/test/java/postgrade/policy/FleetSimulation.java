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
    record ReceivedJob(long atNs, double serviceTimeNs) {}

    private record Event(long atNs, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return atNs != o.atNs ? Long.compare(atNs, o.atNs) : Long.compare(order, o.order);
        }
    }

    /** Runs first what came first, in so many slots; while cold more slowly. */
    final class SimulatedWorker {
        final String id;
        final int slots;
        long startedNs;
        int running;
        final ArrayDeque<Runnable> queue = new ArrayDeque<>();
        final List<ReceivedJob> received = new ArrayList<>();

        SimulatedWorker(String id, int slots) {
            this.id = id;
            this.slots = slots;
        }

        double slowStartShare(long nowNs) {
            return startedNs == 0
                    ? 1
                    : Math.min(
                            1,
                            commonSettings.slowStartInitialShare
                                    + (1 - commonSettings.slowStartInitialShare)
                                            * Math.max(0, nowNs - startedNs)
                                            / commonSettings.slowStartNs);
        }

        void restart() {
            startedNs = now;
            queue.clear(); // What it held ends with it, and its gateways hear of no end: their
            // limit tells them.
            received.clear();
        }

        WorkerInfo info() {
            return new WorkerInfo(id, "z", "k", 0, WorkerPhase.READY, 1, startedNs);
        }
    }

    private final class Dispatcher implements PolicyActions {
        final int index;
        TokenBucketDispatchPolicy policy;

        Dispatcher(int index) {
            this.index = index;
            start(WorkerListUpdateType.FULL);
        }

        void start(WorkerListUpdateType form) {
            policy = new TokenBucketDispatchPolicy(settings(index), random.nextLong(), this);
            updateWorkerList(form);
        }

        void updateWorkerList(WorkerListUpdateType form) {
            policy.workersUpdated(
                    now, form, workers.values().stream().map(SimulatedWorker::info).toList());
        }

        @Override
        public void startAttempt(String jobId, String workerId, long limitNs) {
            TokenBucketDispatchPolicy by = policy;
            int attempt = attempts.merge(jobId, 1, Integer::sum) - 1;
            SimulatedWorker m = workers.get(workerId);
            double work = serviceTimeNs(jobId);
            m.received.add(new ReceivedJob(now, work));
            long born = m.startedNs;
            Runnable runs =
                    () -> {
                        m.running++;
                        by.attemptStarted(now, jobId, attempt);
                        schedule(
                                now + (long) (work / m.slowStartShare(now)),
                                () -> {
                                    if (m.startedNs == born) {
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
            schedule(
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
            TokenBucketDispatchPolicy by = policy;
            schedule(
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
            rejected++;
        }

        @Override
        public void fail(String jobId) {
            rejected++;
        }

        @Override
        public void probe(String workerId) {}

        @Override
        public void startTimer(String token, long inNs) {
            TokenBucketDispatchPolicy by = policy;
            schedule(now + inNs, () -> by.timerFired(now, token));
        }

        @Override
        public void watchWorkers() {}
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final SplittableRandom random;
    private final PolicySettings commonSettings;
    private final java.util.function.IntFunction<PolicySettings> settingsByIndex;
    private final Map<String, Double> meanServiceTimesNs;
    private final double variationCoefficient;
    final Map<String, SimulatedWorker> workers = new HashMap<>();
    private final List<Dispatcher> dispatchers = new ArrayList<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final Map<String, Double> serviceTimesNs = new HashMap<>();
    private long order;
    private long jobs;
    long rejected;
    long now;

    /**
     * @param settings of each gateway, by its number
     * @param meansNs how long jobs of each class run on the mean
     * @param cv their deviation over their mean, lognormal
     */
    FleetSimulation(
            long seed,
            java.util.function.IntFunction<PolicySettings> settings,
            int workerCount,
            int slots,
            Map<String, Double> meansNs,
            double cv) {
        random = new SplittableRandom(seed);
        this.settingsByIndex = settings;
        commonSettings = settings.apply(0);
        this.meanServiceTimesNs = meansNs;
        this.variationCoefficient = cv;
        for (int i = 0; i < workerCount; i++) {
            workers.put("w" + i, new SimulatedWorker("w" + i, slots));
        }
        for (int i = 0; i < commonSettings.dispatcherCount; i++) {
            dispatchers.add(new Dispatcher(i));
        }
    }

    private PolicySettings settings(int index) {
        return settingsByIndex.apply(index);
    }

    private double serviceTimeNs(String jobId) {
        return serviceTimesNs.get(jobId);
    }

    void schedule(long atNs, Runnable does) {
        events.add(new Event(atNs, order++, does));
    }

    /** Jobs from now on until then, at random times; some gateways get several times the mean. */
    void generateLoad(double perSecond, long untilNs) {
        long next = now + (long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND);
        if (next < untilNs) {
            schedule(
                    next,
                    () -> {
                        submitJob();
                        generateLoad(perSecond, untilNs);
                    });
        }
    }

    private void submitJob() {
        JobClass c = commonSettings.classes.get(random.nextInt(commonSettings.classes.size()));
        String id = "j" + jobs++;
        double sigma2 = Math.log(1 + variationCoefficient * variationCoefficient);
        serviceTimesNs.put(
                id,
                meanServiceTimesNs.get(c.name())
                        * Math.exp(Math.sqrt(sigma2) * nextGaussian() - sigma2 / 2));
        double at = random.nextDouble();
        Dispatcher g = dispatchers.get((int) (at * at * dispatchers.size()));
        g.policy.jobArrived(now, new Job(id, c.name(), "t", null, 5 * SECOND, 1, 0));
    }

    private double nextGaussian() {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
                * Math.cos(2 * Math.PI * random.nextDouble());
    }

    /** The worker's process starts anew; each gateway hears of it within this time. */
    void restartWorker(String worker, long toldWithinNs) {
        workers.get(worker).restart();
        for (Dispatcher g : dispatchers) {
            schedule(
                    now + random.nextLong(toldWithinNs),
                    () -> g.updateWorkerList(WorkerListUpdateType.DELTA));
        }
    }

    /** So large a part of the gateways begins again with nothing but the list. */
    void restartDispatchers(double part) {
        dispatchers.stream()
                .filter(g -> random.nextDouble() < part)
                .forEach(g -> g.start(WorkerListUpdateType.CACHED));
    }

    void run(long untilNs) {
        while (!events.isEmpty() && events.peek().atNs <= untilNs) {
            Event e = events.poll();
            now = e.atNs;
            e.action.run();
        }
        now = untilNs;
    }
}
