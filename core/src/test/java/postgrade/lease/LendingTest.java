package postgrade.lease;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.Test;
import postgrade.policy.api.Idempotency;
import postgrade.policy.api.Job;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerPhase;
import postgrade.shared.Command;
import postgrade.shared.ReplicatedStateMachine;
import postgrade.shared.Row;
import postgrade.shared.Rows;
import postgrade.shared.View;

/**
 * Shows that lending serves more jobs when half of all accelerators is reserved early but needed
 * only later.
 */
public class LendingTest {

    private static final int WORKERS = 8;
    private static final int SLOTS = 4;
    private static final double NEEDED_AT_S = 120;
    private static final double END_S = 180;
    private static final double TIME_LEFT_S = 5;
    private static final double LATENCY_OBJECTIVE_S = 1;

    /**
     * @param ordinaryInTime share of the ordinary jobs that were served in time
     * @param holderInTime the same for the holder's jobs
     */
    private record Result(double ordinaryInTime, double holderInTime) {}

    private static Result run(long seed, boolean lends) {
        ReplicatedStateMachine machine =
                new ReplicatedStateMachine(1, List.of(new LeasePart(LeaseTimes.DEFAULT)));
        List<WorkerInfo> workers = new ArrayList<>();
        long index = 0;
        for (int workerIndex = 0; workerIndex < WORKERS; workerIndex++) {
            workers.add(new WorkerInfo("w" + workerIndex, "z", "k", 0, WorkerPhase.READY, 1, 0));
            machine.apply(
                    ++index,
                    new Command(
                            "",
                            "n",
                            1,
                            "lease",
                            "unit",
                            Row.of(
                                    "worker",
                                    "w" + workerIndex,
                                    "site",
                                    "z",
                                    "kind",
                                    "k",
                                    "accelerators",
                                    SLOTS,
                                    "version",
                                    1)));
        }
        machine.apply(
                ++index,
                new Command(
                        "",
                        "n",
                        1,
                        "lease",
                        "acquire",
                        Row.of(
                                "holder",
                                "ana",
                                "site",
                                "z",
                                "accelerators",
                                WORKERS * SLOTS / 2,
                                "ttlMs",
                                600_000,
                                "neededInMs",
                                (long) (NEEDED_AT_S * 1000))));
        Rows rows = Rows.fromSnapshot(index, machine.snapshot().rows());
        View[] view = {View.NONE};
        LeaseConstraints constraints =
                new LeaseConstraints(
                        () -> view[0],
                        LeaseTimes.DEFAULT,
                        new LeaseConstraints.Rules(
                                Set.of("plan"),
                                Map.of(
                                        "plan",
                                        Idempotency.DEDUPLICATED,
                                        "check",
                                        Idempotency.IDEMPOTENT),
                                lends));

        SplittableRandom random = new SplittableRandom(seed);
        List<PriorityQueue<Double>> busyUntil = new ArrayList<>();
        workers.forEach(workerIndex -> busyUntil.add(new PriorityQueue<>()));
        int[] total = new int[2];
        int[] inTime = new int[2];
        // Half the fleet alone would have a load of 1.3, the whole fleet 0.65. The holder's load is
        // light.
        for (double t = 0; t < END_S; t += -Math.log(1 - random.nextDouble()) / 44) {
            boolean holderJob = t > NEEDED_AT_S && random.nextInt(4) == 0;
            double serviceSeconds = -Math.log(1 - random.nextDouble()) * 0.47;
            view[0] =
                    new View(
                            new postgrade.shared.Moment(1, index, (long) (t * 1e6)),
                            rows,
                            (long) (t * 1e6));
            Job job =
                    new Job(
                            "j",
                            holderJob ? "plan" : "check",
                            holderJob ? "ana" : "ivo",
                            null,
                            (long) (TIME_LEFT_S * 1e9),
                            1,
                            0);
            int leastLoaded = -1;
            double leastLoad = Double.MAX_VALUE;
            for (int workerIndex = 0; workerIndex < WORKERS; workerIndex++) {
                double now = t;
                busyUntil.get(workerIndex).removeIf(end -> end <= now);
                double usableShare =
                        constraints.usableShare((long) (t * 1e9), job, workers.get(workerIndex));
                double load =
                        usableShare == 0
                                ? Double.MAX_VALUE
                                : (busyUntil.get(workerIndex).size() + 1) / (SLOTS * usableShare);
                if (load < leastLoad) {
                    leastLoad = load;
                    leastLoaded = workerIndex;
                }
            }
            PriorityQueue<Double> queue = busyUntil.get(leastLoaded);
            List<Double> ends = new ArrayList<>(queue);
            ends.sort(null);
            double startsAt = ends.size() < SLOTS ? t : ends.get(ends.size() - SLOTS);
            // Rejected if every worker usable for it has a queue as long as its slots.
            boolean accepted = leastLoad <= 2;
            if (accepted) {
                queue.add(startsAt + serviceSeconds);
            }
            boolean servedInTime =
                    accepted
                            && startsAt + serviceSeconds - t
                                    <= LATENCY_OBJECTIVE_S + 2 * serviceSeconds;
            total[holderJob ? 1 : 0]++;
            inTime[holderJob ? 1 : 0] += servedInTime ? 1 : 0;
        }
        return new Result((double) inTime[0] / total[0], (double) inTime[1] / total[1]);
    }

    @Test
    public void lendingServesMoreWithoutHarmToHolder() {
        double withoutLending = 0;
        double withLending = 0;
        double holderWithoutLending = 0;
        double holderWithLending = 0;
        int seeds = 20;
        for (int seed = 0; seed < seeds; seed++) {
            Result without = run(seed, false);
            Result with = run(seed, true);
            withoutLending += without.ordinaryInTime / seeds;
            withLending += with.ordinaryInTime / seeds;
            holderWithoutLending += without.holderInTime / seeds;
            holderWithLending += with.holderInTime / seeds;
        }
        String figures =
                String.format(
                        "served in time without and with lending: ordinary %.3f %.3f, holder %.3f %.3f",
                        withoutLending, withLending, holderWithoutLending, holderWithLending);
        assertTrue(figures, withLending > withoutLending + 0.1);
        assertEquals(holderWithoutLending, holderWithLending, 0.01);
    }
}
