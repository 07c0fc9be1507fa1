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
 * Simulates dispatchers that do not know of each other and workers with queues, in virtual time and
 * reproducible by seed.
 */
final class FleetSimulation {

    static final long MS = 1_000_000L;
    static final long SECOND = 1_000 * MS;

    /** A job received by a worker: when, and its service time after slow start. */
    record ReceivedJob(long atNs, double serviceTimeNs) {}

    private record Event(long atNs, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atNs != other.atNs
                    ? Long.compare(atNs, other.atNs)
                    : Long.compare(order, other.order);
        }
    }

    /**
     * A worker with a FIFO queue and a number of slots; it runs jobs more slowly during slow start.
     */
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
            // Its jobs are lost without a report; their dispatchers notice by timeouts.
            queue.clear();
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

        void start(WorkerListUpdateType type) {
            policy = new TokenBucketDispatchPolicy(settings(index), random.nextLong(), this);
            updateWorkerList(type);
        }

        void updateWorkerList(WorkerListUpdateType type) {
            policy.workersUpdated(
                    now, type, workers.values().stream().map(SimulatedWorker::info).toList());
        }

        @Override
        public void startAttempt(String jobId, String workerId, long timeoutNs) {
            TokenBucketDispatchPolicy currentPolicy = policy;
            int attempt = attempts.merge(jobId, 1, Integer::sum) - 1;
            SimulatedWorker worker = workers.get(workerId);
            double serviceTimeNs = serviceTimeNs(jobId);
            worker.received.add(new ReceivedJob(now, serviceTimeNs));
            long startedNs = worker.startedNs;
            Runnable run =
                    () -> {
                        worker.running++;
                        currentPolicy.attemptStarted(now, jobId, attempt);
                        schedule(
                                now + (long) (serviceTimeNs / worker.slowStartShare(now)),
                                () -> {
                                    if (worker.startedNs == startedNs) {
                                        worker.running--;
                                        currentPolicy.attemptFinished(
                                                now,
                                                jobId,
                                                attempt,
                                                AttemptOutcome.SERVED,
                                                true,
                                                LoadReport.NONE);
                                        if (!worker.queue.isEmpty()) {
                                            worker.queue.poll().run();
                                        }
                                    }
                                });
                    };
            // Later than the current event of the policy, as over a network.
            schedule(
                    now + MS,
                    () -> {
                        if (worker.running < worker.slots) {
                            run.run();
                        } else {
                            worker.queue.add(run);
                        }
                    });
        }

        @Override
        public void cancelAttempt(String jobId, int attempt) {
            // In the worst case workers run cancelled jobs nevertheless.
            TokenBucketDispatchPolicy currentPolicy = policy;
            schedule(
                    now + MS,
                    () ->
                            currentPolicy.attemptFinished(
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
        public void startTimer(String token, long delayNs) {
            TokenBucketDispatchPolicy currentPolicy = policy;
            schedule(now + delayNs, () -> currentPolicy.timerFired(now, token));
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
     * @param settings the settings of each dispatcher, by its index
     * @param meanServiceTimesNs the mean service time of each class
     * @param variationCoefficient the coefficient of variation of the lognormal service times
     */
    FleetSimulation(
            long seed,
            java.util.function.IntFunction<PolicySettings> settings,
            int workerCount,
            int slots,
            Map<String, Double> meanServiceTimesNs,
            double variationCoefficient) {
        random = new SplittableRandom(seed);
        this.settingsByIndex = settings;
        commonSettings = settings.apply(0);
        this.meanServiceTimesNs = meanServiceTimesNs;
        this.variationCoefficient = variationCoefficient;
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

    void schedule(long atNs, Runnable action) {
        events.add(new Event(atNs, order++, action));
    }

    /**
     * Generates jobs at random times until {@code untilNs}; some dispatchers get several times the
     * mean load.
     */
    void generateLoad(double perSecond, long untilNs) {
        long nextNs = now + (long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND);
        if (nextNs < untilNs) {
            schedule(
                    nextNs,
                    () -> {
                        submitJob();
                        generateLoad(perSecond, untilNs);
                    });
        }
    }

    private void submitJob() {
        JobClass jobClass =
                commonSettings.classes.get(random.nextInt(commonSettings.classes.size()));
        String id = "j" + jobs++;
        double variance = Math.log(1 + variationCoefficient * variationCoefficient);
        serviceTimesNs.put(
                id,
                meanServiceTimesNs.get(jobClass.name())
                        * Math.exp(Math.sqrt(variance) * nextGaussian() - variance / 2));
        double position = random.nextDouble();
        Dispatcher dispatcher = dispatchers.get((int) (position * position * dispatchers.size()));
        dispatcher.policy.jobArrived(
                now, new Job(id, jobClass.name(), "t", null, 5 * SECOND, 1, 0));
    }

    private double nextGaussian() {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
                * Math.cos(2 * Math.PI * random.nextDouble());
    }

    /**
     * Restarts the worker; each dispatcher is notified at a random time within {@code
     * notifiedWithinNs}.
     */
    void restartWorker(String worker, long notifiedWithinNs) {
        workers.get(worker).restart();
        for (Dispatcher dispatcher : dispatchers) {
            schedule(
                    now + random.nextLong(notifiedWithinNs),
                    () -> dispatcher.updateWorkerList(WorkerListUpdateType.DELTA));
        }
    }

    /** Restarts this share of the dispatchers; they keep only the cached worker list. */
    void restartDispatchers(double share) {
        dispatchers.stream()
                .filter(dispatcher -> random.nextDouble() < share)
                .forEach(dispatcher -> dispatcher.start(WorkerListUpdateType.CACHED));
    }

    void run(long untilNs) {
        while (!events.isEmpty() && events.peek().atNs <= untilNs) {
            Event event = events.poll();
            now = event.atNs;
            event.action.run();
        }
        now = untilNs;
    }
}
