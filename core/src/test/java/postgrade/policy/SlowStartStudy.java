package postgrade.policy;

import static postgrade.policy.FleetSimulation.MS;
import static postgrade.policy.FleetSimulation.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import postgrade.policy.FleetSimulation.ReceivedJob;
import postgrade.policy.FleetSimulation.SimulatedWorker;
import postgrade.policy.api.DeduplicationScope;
import postgrade.policy.api.Idempotency;
import postgrade.policy.api.JobClass;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.Tenant;

/**
 * Prints how often a worker in slow start is sent more than its budget, by its slots and the number
 * of dispatchers. docs/measurements/cold-ramp.md has the results.
 */
final class SlowStartStudy {

    private static final double OVERLOAD_MULTIPLE = 3;
    private static final long WINDOW_NS = 2 * SECOND;
    private static final int WORKERS = 24;
    private static final Map<String, Double> MEAN_SERVICE_TIMES_NS =
            Map.of("short", 150e6, "long", 600e6);
    private static final double MEAN_SERVICE_TIME_NS = 375e6;
    private static final List<String> RESTARTED = List.of("w3", "w7", "w11");

    private SlowStartStudy() {}

    private static PolicySettings settings(int dispatchers, int index, double capacity) {
        return PolicySettings.builder()
                .dispatcherCount(dispatchers)
                .dispatcherIndex(index)
                .classes(
                        List.of(
                                new JobClass(
                                        "short",
                                        Idempotency.IDEMPOTENT,
                                        DeduplicationScope.ALL,
                                        0,
                                        200 * MS,
                                        2,
                                        1,
                                        0,
                                        null,
                                        false),
                                new JobClass(
                                        "long",
                                        Idempotency.NOT_IDEMPOTENT,
                                        DeduplicationScope.ALL,
                                        0,
                                        500 * MS,
                                        2,
                                        3,
                                        0,
                                        null,
                                        false)))
                .tenants(List.of(new Tenant("t", 0.8 * capacity)))
                .workersReportStart(true)
                .maxAttempts(4)
                .allowsConcurrentAttempts(false)
                .slowStart(0.15, 20 * SECOND)
                .overload(OVERLOAD_MULTIPLE, WINDOW_NS)
                .build();
    }

    /**
     * Returns the budget in jobs of mean service time for the number that the settings allow: that
     * number plus a margin for chance.
     */
    private static double workBudget(double allowed) {
        double roots = allowed < 30 ? 3 : 2;
        return allowed + roots * Math.sqrt(allowed) + roots;
    }

    /** The worst window since the start of a worker. */
    private record WorstWindow(double shareOfBudget, double rootsOverAllowed) {}

    private static WorstWindow worstWindow(SimulatedWorker worker) {
        double share = 0;
        double roots = Double.NEGATIVE_INFINITY;
        double sum = 0;
        int firstInWindow = 0;
        for (ReceivedJob received : worker.received) {
            sum += received.serviceTimeNs() / MEAN_SERVICE_TIME_NS;
            while (worker.received.get(firstInWindow).atNs() <= received.atNs() - WINDOW_NS) {
                sum -= worker.received.get(firstInWindow++).serviceTimeNs() / MEAN_SERVICE_TIME_NS;
            }
            double slowStartShare =
                    worker.slowStartShare(Math.max(worker.startedNs, received.atNs() - WINDOW_NS));
            double allowed =
                    OVERLOAD_MULTIPLE
                            * slowStartShare
                            * worker.slots
                            * WINDOW_NS
                            / MEAN_SERVICE_TIME_NS;
            share = Math.max(share, sum / workBudget(allowed));
            roots = Math.max(roots, (sum - allowed - 2) / Math.sqrt(allowed));
        }
        return new WorstWindow(share, roots);
    }

    private static FleetSimulation simulationWithThreeRestarts(
            int slots, int dispatchers, long seed) {
        double capacity = WORKERS * slots * 1e9 / MEAN_SERVICE_TIME_NS;
        FleetSimulation fleet =
                new FleetSimulation(
                        seed,
                        i -> settings(dispatchers, i, capacity),
                        WORKERS,
                        slots,
                        MEAN_SERVICE_TIMES_NS,
                        1);
        fleet.generateLoad(0.7 * capacity, 30 * SECOND);
        fleet.run(8 * SECOND);
        fleet.generateLoad(0.7 * capacity, 14 * SECOND);
        for (String worker : RESTARTED) {
            fleet.restartWorker(worker, 200 * MS);
            fleet.run(fleet.now + SECOND);
        }
        fleet.run(30 * SECOND);
        return fleet;
    }

    private static void printRow(int slots, int dispatchers, int seeds) {
        List<WorstWindow> restarts = new ArrayList<>();
        long rejected = 0;
        for (long seed = 1; seed <= seeds; seed++) {
            FleetSimulation fleet = simulationWithThreeRestarts(slots, dispatchers, seed);
            rejected += fleet.rejected;
            RESTARTED.forEach(worker -> restarts.add(worstWindow(fleet.workers.get(worker))));
        }
        System.out.printf(
                Locale.ROOT,
                "| %d | %d | %d | %d | %.2f | %d | %d |%n",
                slots,
                dispatchers,
                restarts.size(),
                restarts.stream().filter(worst -> worst.shareOfBudget() > 1).count(),
                restarts.stream().mapToDouble(WorstWindow::shareOfBudget).max().orElse(0),
                restarts.stream().filter(worst -> worst.rootsOverAllowed() > 2).count(),
                rejected);
    }

    /**
     * Runs the study.
     *
     * @param args the number of seeds; each has three restarts of workers
     */
    public static void main(String[] args) {
        int seeds = Integer.parseInt(args[0]);
        System.out.println(
                "| slots | dispatchers | starts | over budget | worst part of it | over N + 2 roots + 2 | refused |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
        for (int slots : new int[] {1, 2, 3, 5, 8, 16}) {
            for (int dispatchers : new int[] {5, 30, 100}) {
                printRow(slots, dispatchers, seeds);
            }
        }
    }
}
