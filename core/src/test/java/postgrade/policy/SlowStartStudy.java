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

    private static final double MULTIPLE = 3;
    private static final long WINDOW = 2 * SECOND;
    private static final int WORKERS = 24;
    private static final Map<String, Double> MEANS = Map.of("short", 150e6, "long", 600e6);
    private static final double MEAN = 375e6;
    private static final List<String> STARTED = List.of("w3", "w7", "w11");

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
                .overload(MULTIPLE, WINDOW)
                .build();
    }

    /** The budget of the terms for so many requests of mean work that the settings allow. */
    private static double budget(double allowed) {
        double roots = allowed < 30 ? 3 : 2;
        return allowed + roots * Math.sqrt(allowed) + roots;
    }

    /** What the worst window since a worker's start came to. */
    private record Worst(double partOfBudget, double rootsOverAllowed) {}

    private static Worst worst(SimulatedWorker worker) {
        double part = 0;
        double roots = Double.NEGATIVE_INFINITY;
        double sum = 0;
        int from = 0;
        for (ReceivedJob call : worker.received) {
            sum += call.serviceTimeNs() / MEAN;
            while (worker.received.get(from).atNs() <= call.atNs() - WINDOW) {
                sum -= worker.received.get(from++).serviceTimeNs() / MEAN;
            }
            double warmth = worker.slowStartShare(Math.max(worker.startedNs, call.atNs() - WINDOW));
            double allowed = MULTIPLE * warmth * worker.slots * WINDOW / MEAN;
            part = Math.max(part, sum / budget(allowed));
            roots = Math.max(roots, (sum - allowed - 2) / Math.sqrt(allowed));
        }
        return new Worst(part, roots);
    }

    private static FleetSimulation withThreeStarts(int slots, int dispatchers, long seed) {
        double capacity = WORKERS * slots * 1e9 / MEAN;
        FleetSimulation fleet =
                new FleetSimulation(
                        seed, i -> settings(dispatchers, i, capacity), WORKERS, slots, MEANS, 1);
        fleet.generateLoad(0.7 * capacity, 30 * SECOND);
        fleet.run(8 * SECOND);
        fleet.generateLoad(0.7 * capacity, 14 * SECOND);
        for (String worker : STARTED) {
            fleet.restartWorker(worker, 200 * MS);
            fleet.run(fleet.now + SECOND);
        }
        fleet.run(30 * SECOND);
        return fleet;
    }

    private static void row(int slots, int dispatchers, int seeds) {
        List<Worst> starts = new ArrayList<>();
        long refused = 0;
        for (long seed = 1; seed <= seeds; seed++) {
            FleetSimulation fleet = withThreeStarts(slots, dispatchers, seed);
            refused += fleet.rejected;
            STARTED.forEach(worker -> starts.add(worst(fleet.workers.get(worker))));
        }
        System.out.printf(
                Locale.ROOT,
                "| %d | %d | %d | %d | %.2f | %d | %d |%n",
                slots,
                dispatchers,
                starts.size(),
                starts.stream().filter(worst -> worst.partOfBudget() > 1).count(),
                starts.stream().mapToDouble(Worst::partOfBudget).max().orElse(0),
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
                row(slots, dispatchers, seeds);
            }
        }
    }
}
