package postgrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static postgrade.policy.FleetSimulation.MS;
import static postgrade.policy.FleetSimulation.SECOND;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import postgrade.policy.FleetSimulation.ReceivedJob;
import postgrade.policy.FleetSimulation.SimulatedWorker;
import postgrade.policy.api.DeduplicationScope;
import postgrade.policy.api.Idempotency;
import postgrade.policy.api.JobClass;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.Tenant;

/**
 * What all gateways together send to a cold worker, in a seeded simulation. Within each window it
 * may get N requests of mean work, and 2 roots of N and 2 more are put down to chance;
 * docs/measurements/cold-ramp.md has the calculation.
 */
class SlowStartBudgetTest {

    private static final double OVERLOAD_MULTIPLE = 3;
    private static final long WINDOW_NS = 2 * SECOND;

    /** What the fleet has together, in workers of five slots or of two. */
    private static final int FLEET_SLOTS = 120;

    private static final Map<String, Double> MEAN_SERVICE_TIMES_NS = Map.of("short", 150e6, "long", 600e6);
    private static final double MEAN_SERVICE_TIME_NS = 375e6;

    /** What the fleet can do, jobs a second. */
    private static final double CAPACITY_PER_S = FLEET_SLOTS * 1e9 / MEAN_SERVICE_TIME_NS;

    private static PolicySettings settings(int gateways, int index) {
        return PolicySettings.builder()
                .dispatcherCount(gateways)
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
                .tenants(List.of(new Tenant("t", 0.8 * CAPACITY_PER_S)))
                .workersReportStart(true)
                .maxAttempts(4)
                .allowsConcurrentAttempts(false)
                .slowStart(0.15, 20 * SECOND)
                .overload(OVERLOAD_MULTIPLE, WINDOW_NS)
                .build();
    }

    /**
     * The most by which the work in any window since the worker's start went over N, in roots of N;
     * and that work over N.
     */
    private static double[] worstWindow(SimulatedWorker m) {
        double worst = 0;
        double over = -9;
        double sum = 0;
        int from = 0;
        for (int i = 0; i < m.received.size(); i++) {
            ReceivedJob c = m.received.get(i);
            sum += c.serviceTimeNs() / MEAN_SERVICE_TIME_NS;
            while (m.received.get(from).atNs() <= c.atNs() - WINDOW_NS) {
                sum -= m.received.get(from++).serviceTimeNs() / MEAN_SERVICE_TIME_NS;
            }
            // The least that it can do in this window: what it could at its begin, or at its start.
            double n =
                    OVERLOAD_MULTIPLE
                            * m.slowStartShare(Math.max(m.startedNs, c.atNs() - WINDOW_NS))
                            * m.slots
                            * WINDOW_NS
                            / MEAN_SERVICE_TIME_NS;
            worst = Math.max(worst, sum / n);
            over = Math.max(over, (sum - n - 2) / Math.sqrt(n));
        }
        return new double[] {over, worst};
    }

    private static FleetSimulation simulationUnderBurst(int gateways, int slots, long seed) {
        FleetSimulation f =
                new FleetSimulation(
                        seed, i -> settings(gateways, i), FLEET_SLOTS / slots, slots, MEAN_SERVICE_TIMES_NS, 1);
        f.generateLoad(0.7 * CAPACITY_PER_S, 30 * SECOND);
        f.run(8 * SECOND);
        f.generateLoad(0.7 * CAPACITY_PER_S, 14 * SECOND);
        return f;
    }

    /**
     * Three workers restart under the same id, one after another. Returns how many got more than is
     * put down to chance.
     */
    private static int countWorkersOverBudget(FleetSimulation f, String what) {
        List<String> restarted = List.of("w3", "w7", "w11");
        for (String w : restarted) {
            f.restartWorker(w, 200 * MS);
            f.run(f.now + SECOND);
        }
        f.run(30 * SECOND);
        int over = 0;
        for (String w : restarted) {
            SimulatedWorker m = f.workers.get(w);
            double[] worst = worstWindow(m);
            assertTrue(
                    m.received.size() > 10,
                    what + ": it was used, " + m.received.size() + " calls");
            over += worst[0] > 2 ? 1 : 0;
            assertTrue(
                    worst[0] <= 4,
                    what
                            + ", "
                            + w
                            + ": "
                            + worst[0]
                            + " roots of N over N + 2, "
                            + worst[1]
                            + " of N");
        }
        return over;
    }

    @ParameterizedTest
    @ValueSource(ints = {5, 30, 100})
    void allDispatchersTogetherStayWithinTheBudgetOnRestartsUnderBurst(int gateways) {
        for (long seed = 1; seed <= 6; seed++) {
            String what = gateways + " gateways, seed " + seed;
            assertEquals(0, countWorkersOverBudget(simulationUnderBurst(gateways, 5, seed), what), what);
        }
    }

    /**
     * Seven in ten gateways begin again just before: they know the workers by a list that they were
     * given, and nothing else.
     */
    @ParameterizedTest
    @ValueSource(ints = {5, 30, 100})
    void budgetHoldsWhenMostDispatchersHaveJustRestarted(int gateways) {
        for (long seed = 1; seed <= 6; seed++) {
            String what = gateways + " gateways, seed " + seed;
            FleetSimulation f = simulationUnderBurst(gateways, 5, seed);
            f.restartDispatchers(0.7);
            assertEquals(0, countWorkersOverBudget(f, what), what);
        }
    }

    /**
     * Workers smaller than one is taken to be of which nothing is known: what the tenants' rates
     * come to bounds the guess. N is under five jobs here, whose lengths alone take one start in
     * twenty over two roots.
     */
    @ParameterizedTest
    @ValueSource(ints = {5, 30, 100})
    void smallWorkersGetNoMoreThanTheQuotasImply(int gateways) {
        int over = 0;
        for (long seed = 1; seed <= 6; seed++) {
            over += countWorkersOverBudget(simulationUnderBurst(gateways, 2, seed), gateways + " gateways, seed " + seed);
        }
        assertTrue(over <= 1, over + " of 18 starts");
    }
}
