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
 * Prints how often a worker in slow start gets more than its budget, by its slots and the number of
 * dispatchers. Run by {@code bench/slow-start}; the figures stand in
 * docs/measurements/cold-ramp.md.
 */
final class SlowStartStudy {

    private static final double OVERLOAD_MULTIPLE = 3;
    private static final long WINDOW_NS = 2 * SECOND;
    private static final int WORKERS = 24;
    private static final Map<String, Double> MEAN_SERVICE_TIMES_NS = Map.of("short", 150e6, "long", 600e6);
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

    /** The budget of the terms for so many requests of mean work that the settings allow. */
    private static double workBudget(double allowed) {
        double roots = allowed < 30 ? 3 : 2;
        return allowed + roots * Math.sqrt(allowed) + roots;
    }

    /** What the worst window since a worker's start came to. */
    private record WorstWindow(double shareOfBudget, double rootsOverAllowed) {}

    private static WorstWindow worstWindow(SimulatedWorker worker) {
        double part = 0;
        double roots = Double.NEGATIVE_INFINITY;
        double sum = 0;
        int from = 0;
        for (ReceivedJob call : worker.received) {
            sum += call.serviceTimeNs() / MEAN_SERVICE_TIME_NS;
            while (worker.received.get(from).atNs() <= call.atNs() - WINDOW_NS) {
                sum -= worker.received.get(from++).serviceTimeNs() / MEAN_SERVICE_TIME_NS;
            }
            double warmth = worker.slowStartShare(Math.max(worker.startedNs, call.atNs() - WINDOW_NS));
            double allowed = OVERLOAD_MULTIPLE * warmth * worker.slots * WINDOW_NS / MEAN_SERVICE_TIME_NS;
            part = Math.max(part, sum / workBudget(allowed));
            roots = Math.max(roots, (sum - allowed - 2) / Math.sqrt(allowed));
        }
        return new WorstWindow(part, roots);
    }

    private static FleetSimulation simulationWithThreeRestarts(int slots, int dispatchers, long seed) {
        double capacity = WORKERS * slots * 1e9 / MEAN_SERVICE_TIME_NS;
        FleetSimulation fleet =
                new FleetSimulation(
                        seed, i -> settings(dispatchers, i, capacity), WORKERS, slots, MEAN_SERVICE_TIMES_NS, 1);
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
        List<WorstWindow> starts = new ArrayList<>();
        long refused = 0;
        for (long seed = 1; seed <= seeds; seed++) {
            FleetSimulation fleet = simulationWithThreeRestarts(slots, dispatchers, seed);
            refused += fleet.rejected;
            RESTARTED.forEach(worker -> starts.add(worstWindow(fleet.workers.get(worker))));
        }
        System.out.printf(
                Locale.ROOT,
                "| %d | %d | %d | %d | %.2f | %d | %d |%n",
                slots,
                dispatchers,
                starts.size(),
                starts.stream().filter(worst -> worst.shareOfBudget() > 1).count(),
                starts.stream().mapToDouble(WorstWindow::shareOfBudget).max().orElse(0),
                starts.stream().filter(worst -> worst.rootsOverAllowed() > 2).count(),
                refused);
    }

    /**
     * @param args how many seeds; each has three starts
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
