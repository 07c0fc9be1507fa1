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
 * Whether lending wins: half of all accelerators is reserved early and needed only after a while.
 */
public class LendingTest {

    private static final int WORKERS = 8;
    private static final int SLOTS = 4;
    private static final double NEEDED = 120;
    private static final double END = 180;
    private static final double TIME_LEFT = 5;
    private static final double AIM = 1;

    /**
     * @param checks part of the ordinary jobs in time @param plans and of the holder's
     */
    private record Result(double checks, double plans) {}

    private static Result run(long seed, boolean lends) {
        ReplicatedStateMachine machine =
                new ReplicatedStateMachine(1, List.of(new LeasePart(LeaseTimes.DEFAULT)));
        List<WorkerInfo> workers = new ArrayList<>();
        long index = 0;
        for (int w = 0; w < WORKERS; w++) {
            workers.add(new WorkerInfo("w" + w, "z", "k", 0, WorkerPhase.READY, 1, 0));
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
                                    "w" + w,
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
                                (long) (NEEDED * 1000))));
        Rows rows = Rows.fromSnapshot(index, machine.snapshot().rows());
        View[] view = {View.NONE};
        LeaseConstraints ability =
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
        workers.forEach(w -> busyUntil.add(new PriorityQueue<>()));
        int[] all = new int[2];
        int[] inTime = new int[2];
        // Half the fleet alone is loaded to 1.3; the whole of it to 0.65. The holder's own load is
        // light.
        for (double t = 0; t < END; t += -Math.log(1 - random.nextDouble()) / 44) {
            boolean plan = t > NEEDED && random.nextInt(4) == 0;
            double seconds = -Math.log(1 - random.nextDouble()) * 0.47;
            view[0] =
                    new View(
                            new postgrade.shared.Moment(1, index, (long) (t * 1e6)),
                            rows,
                            (long) (t * 1e6));
            Job job =
                    new Job(
                            "j",
                            plan ? "plan" : "check",
                            plan ? "ana" : "ivo",
                            null,
                            (long) (TIME_LEFT * 1e9),
                            1,
                            0);
            int best = -1;
            double least = Double.MAX_VALUE;
            for (int w = 0; w < WORKERS; w++) {
                double now = t;
                busyUntil.get(w).removeIf(u -> u <= now);
                double part = ability.usableShare((long) (t * 1e9), job, workers.get(w));
                double load =
                        part == 0
                                ? Double.MAX_VALUE
                                : (busyUntil.get(w).size() + 1) / (SLOTS * part);
                if (load < least) {
                    least = load;
                    best = w;
                }
            }
            PriorityQueue<Double> line = busyUntil.get(best);
            List<Double> ends = new ArrayList<>(line);
            ends.sort(null);
            double begins = ends.size() < SLOTS ? t : ends.get(ends.size() - SLOTS);
            // Where every worker that is there for it has a line as long as its slots, it is
            // refused.
            boolean taken = least <= 2;
            if (taken) {
                line.add(begins + seconds);
            }
            boolean good = taken && begins + seconds - t <= AIM + 2 * seconds;
            all[plan ? 1 : 0]++;
            inTime[plan ? 1 : 0] += good ? 1 : 0;
        }
        return new Result((double) inTime[0] / all[0], (double) inTime[1] / all[1]);
    }

    @Test
    public void lendingServesMoreAndTheHolderNoLess() {
        double checks = 0;
        double withLending = 0;
        double plans = 0;
        double plansWithLending = 0;
        int seeds = 20;
        for (int seed = 0; seed < seeds; seed++) {
            Result without = run(seed, false);
            Result with = run(seed, true);
            checks += without.checks / seeds;
            withLending += with.checks / seeds;
            plans += without.plans / seeds;
            plansWithLending += with.plans / seeds;
        }
        String figures =
                String.format(
                        "others' %.3f %.3f, the holder's %.3f %.3f",
                        checks, withLending, plans, plansWithLending);
        assertTrue(figures, withLending > checks + 0.1);
        assertEquals(plans, plansWithLending, 0.01);
    }
}
