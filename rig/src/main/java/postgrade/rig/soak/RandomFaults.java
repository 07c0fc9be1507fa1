package postgrade.rig.soak;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import postgrade.rig.jobs.ExchangeFault;
import postgrade.rig.jobs.ExchangeFault.Kind;
import postgrade.rig.jobs.FaultSelector;

/**
 * Draws the fault of each exchange from the seed, the request and the worker, so that the same
 * exchange meets the same fault in each run of a seed.
 */
final class RandomFaults implements FaultSelector {

    private static final long PER_MILLE = 1000;

    /**
     * A kind with at least this probability is expected to be injected at least once in every run.
     */
    static final double FREQUENT_PER_MILLE = 20;

    private static final long MAX_HOLD_MILLIS = 400;

    /** Cancellations meet fewer faults, since most of them are already reactions to a fault. */
    private static final double CANCELLATION_FAULT_RATIO = 0.5;

    private final long seed;
    private final Map<Kind, Double> perMille;
    private final Map<Kind, AtomicLong> injected = new EnumMap<>(Kind.class);

    /**
     * Creates the selector of one run.
     *
     * @param perMille probability of each kind for exchanges that carry a job, in per mille
     */
    RandomFaults(long seed, Map<Kind, Double> perMille) {
        this.seed = seed;
        this.perMille = new EnumMap<>(perMille);
        for (Kind kind : Kind.values()) {
            injected.put(kind, new AtomicLong());
        }
    }

    @Override
    public ExchangeFault select(Exchange exchange) {
        ExchangeFault ofJob = draw(exchange, true);
        if (exchange.isJob() || ofJob.kind() == Kind.OVERTAKEN) {
            return ofJob; // A cancellation can overtake its job only if both are held back for it.
        }
        ExchangeFault ofCancellation = draw(exchange, false);
        return ofCancellation.kind() == Kind.OVERTAKEN ? ExchangeFault.NONE : ofCancellation;
    }

    private ExchangeFault draw(Exchange exchange, boolean isJob) {
        long key = exchange.subject().hashCode() * 31L + exchange.worker().hashCode();
        SplittableRandom random =
                new SplittableRandom(seed * 1_000_003 + key * 2 + (isJob ? 1 : 0));
        double remaining = random.nextDouble() * PER_MILLE;
        for (Map.Entry<Kind, Double> entry : perMille.entrySet()) {
            remaining -= entry.getValue() * (isJob ? 1 : CANCELLATION_FAULT_RATIO);
            if (remaining < 0) {
                return new ExchangeFault(entry.getKey(), delayMillis(entry.getKey(), random));
            }
        }
        return ExchangeFault.NONE;
    }

    @Override
    public void faultInjected(Kind kind) {
        injected.get(kind).incrementAndGet();
    }

    /** Returns the kinds that are frequent in this run but were never injected. */
    List<Kind> frequentButNotInjected() {
        return perMille.entrySet().stream()
                .filter(entry -> entry.getValue() >= FREQUENT_PER_MILLE)
                .map(Map.Entry::getKey)
                .filter(kind -> injected.get(kind).get() == 0)
                .toList();
    }

    private static long delayMillis(Kind kind, SplittableRandom random) {
        return switch (kind) {
            // Shorter than the grace of the drain rule, which judges jobs by when they were sent.
            case OVERTAKEN -> MAX_HOLD_MILLIS;
            case LATE_REQUEST -> random.nextLong(20, MAX_HOLD_MILLIS);
            case LATE_ANSWER -> random.nextLong(5, 300);
            case RESET_AFTER_ANSWER -> random.nextLong(1, 200);
            case SECOND_ANSWER_FULL, SECOND_ANSWER_ERROR, SECOND_ANSWER_SAME ->
                    random.nextLong(1, 60);
            default -> 0;
        };
    }

    /** Returns how often each kind was injected so far, without those never injected. */
    Map<Kind, Long> counts() {
        Map<Kind, Long> counts = new EnumMap<>(Kind.class);
        injected.forEach(
                (kind, count) -> {
                    if (count.get() > 0) {
                        counts.put(kind, count.get());
                    }
                });
        return counts;
    }
}
