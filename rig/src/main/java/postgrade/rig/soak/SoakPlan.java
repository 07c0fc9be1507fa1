package postgrade.rig.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import postgrade.rig.jobs.ExchangeFault;
import postgrade.rig.soak.ProcessFault.Kind;

/**
 * Plan of one run of the soak test, drawn from its seed.
 *
 * @param fleet plan of the simulated fleet, with the faults of its workers
 * @param configuredDispatchers number of dispatchers stated in the configuration: the greater it
 *     is, the sooner a job that has not begun is moved to another worker
 * @param jobsPerSecond rate over all dispatchers
 * @param loadMillis for how long jobs are sent
 * @param exchangeFaults probability of each kind in an exchange with a worker, in per mille
 * @param processFaults in the order of their times
 * @param idleClients number of silent connections to each dispatcher
 */
record SoakPlan(
        long seed,
        String fleet,
        int dispatchers,
        int configuredDispatchers,
        double jobsPerSecond,
        long loadMillis,
        Map<ExchangeFault.Kind, Double> exchangeFaults,
        List<ProcessFault> processFaults,
        int idleClients) {

    static final long DEADLINE_MILLIS = 3000;

    /** Earliest time after SIGTERM at which a process may be killed. */
    static final long TERM_TO_KILL_MILLIS = DEADLINE_MILLIS + 700;

    private static final long LOAD_MILLIS = 12_000;
    private static final int DISPATCHERS = 3;
    private static final int IDLE_CLIENTS = 600;
    private static final int TIGHT_AIM_DIVISOR = 2;
    private static final int MANY_DISPATCHERS = 16;

    private static final String FLEET =
            """
            seed = %d
            workers = [worker(6, "plain", cores = 6, speed = 1, queue = 12, zone = "hall-a")]
            classes = {
                "slot-check": work(60, sigma = 0.8, deadline_ms = %d, aim_ms = %d),
                "route-plan": work(250, sigma = 0.8, deadline_ms = %d, aim_ms = %d),
                "order-confirm": work(120, sigma = 0.8, deadline_ms = %d, aim_ms = %d, worth = 8, priority = 1, repeatable = False),
            }
            tenants = {"kvart-market": 80, "zeleni-kos": 40}
            callbacks = call_backs(early = %.2f, twice = %.2f, late_ms = %d)
            answer_ms = %.1f
            faults = [%s]
            """;

    /** Draws the plan of a seed. */
    static SoakPlan of(long seed) {
        SplittableRandom random = new SplittableRandom(seed * 7919 + 13);
        Map<ExchangeFault.Kind, Double> exchangeFaults = exchangeFaults(random);
        List<ProcessFault> processFaults = processFaults(random);
        boolean movesJobs = movesJobs(seed, exchangeFaults);
        String fleet = fleet(seed, random, movesJobs ? TIGHT_AIM_DIVISOR : 1);
        int idleClients = random.nextInt(4) == 0 ? IDLE_CLIENTS : 0;
        return new SoakPlan(
                seed,
                fleet,
                DISPATCHERS,
                movesJobs ? MANY_DISPATCHERS : DISPATCHERS,
                40 + random.nextInt(40),
                LOAD_MILLIS,
                exchangeFaults,
                processFaults,
                idleClients);
    }

    /** Usually two or three kinds are frequent in a run, all others are rare. */
    private static Map<ExchangeFault.Kind, Double> exchangeFaults(SplittableRandom random) {
        Map<ExchangeFault.Kind, Double> perMille = new EnumMap<>(ExchangeFault.Kind.class);
        for (ExchangeFault.Kind kind : ExchangeFault.Kind.values()) {
            if (kind.isDrawnAtRandom()) {
                boolean frequent = random.nextInt(5) == 0;
                perMille.put(
                        kind,
                        frequent ? RandomFaults.FREQUENT_PER_MILLE + random.nextDouble() * 60 : 5);
            }
        }
        return perMille;
    }

    private static List<ProcessFault> processFaults(SplittableRandom random) {
        List<ProcessFault> faults = new ArrayList<>();
        long atMillis = 1000 + random.nextLong(1000);
        while (atMillis < LOAD_MILLIS - TERM_TO_KILL_MILLIS) {
            Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
            faults.add(new ProcessFault(atMillis, kind, random.nextInt(DISPATCHERS)));
            atMillis += 500 + random.nextLong(2500);
        }
        return faults;
    }

    private static String fleet(long seed, SplittableRandom random, int aimDivisor) {
        List<String> workerFaults = new ArrayList<>();
        if (random.nextInt(2) == 0) {
            workerFaults.add(
                    workerFault(
                            "silence", 2 + random.nextInt(4), 0.5 + random.nextDouble() * 2, 0.34));
        }
        if (random.nextInt(3) == 0) {
            workerFaults.add(workerFault("pauses", 1, 8, 0.34));
        }
        if (random.nextInt(3) == 0) {
            workerFaults.add(workerFault("restart", 3 + random.nextInt(3), 3, 0.34));
        }
        if (random.nextInt(3) == 0) {
            workerFaults.add(workerFault("drain", 4 + random.nextInt(3), 3, 0.17));
        }
        if (random.nextInt(3) == 0) {
            workerFaults.add(workerFault("fast_errors", 2, 5, 0.17));
        }
        return String.format(
                Locale.ROOT,
                FLEET,
                seed,
                DEADLINE_MILLIS,
                400 / aimDivisor,
                DEADLINE_MILLIS,
                800 / aimDivisor,
                DEADLINE_MILLIS,
                600 / aimDivisor,
                random.nextDouble() * 0.3,
                random.nextDouble() * 0.5,
                random.nextInt(2) == 0 ? 0 : random.nextInt(60),
                random.nextDouble() * 3,
                String.join(", ", workerFaults));
    }

    /**
     * Whether a job that is held back is moved to another worker in the meantime, so that its
     * cancellation can overtake it and a second attempt follows: in runs where overtaking is
     * frequent, and in half of the others.
     */
    private static boolean movesJobs(long seed, Map<ExchangeFault.Kind, Double> exchangeFaults) {
        double overtaken = exchangeFaults.get(ExchangeFault.Kind.OVERTAKEN);
        return overtaken >= RandomFaults.FREQUENT_PER_MILLE
                || new SplittableRandom(seed).nextBoolean();
    }

    private static String workerFault(String kind, double atSeconds, double lasts, double part) {
        return String.format(
                Locale.ROOT,
                "fault(\"%s\", at = %.1f, lasts = %.1f, part = %.2f)",
                kind,
                atSeconds,
                lasts,
                part);
    }
}
