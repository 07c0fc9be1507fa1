package postgrade.recovery;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;

/**
 * The phases of coming back, with the times at which each was reached. All ways from one phase to
 * another stand in {@link #WAYS} and nowhere else.
 */
public final class Recovery {

    /** Full service: within this part of what was served in time before the fault. */
    public static final double WITHIN = 0.05;

    private static final int MOST_STEPS = 100;

    /**
     * What can be seen of this process now.
     *
     * @param remembers a snapshot of its own was loaded and trusted
     * @param listKnown it has a list of workers, told or remembered
     * @param viewAgeMicros of the shared state; any age where nothing is shared
     * @param joined its share was granted, or nothing is shared
     * @param admitted part of the jobs within their share that are taken in, 1 once the ramp is
     *     over
     * @param served worth in time as a part of the worth asked for, of late; NaN where nothing was
     *     asked
     * @param before the same before the fault; NaN where nobody knows
     */
    public record Observation(
            boolean remembers,
            boolean listKnown,
            long viewAgeMicros,
            boolean joined,
            double admitted,
            double served,
            double before) {

        boolean asBefore() {
            return Double.isNaN(served) || Double.isNaN(before) || served >= before * (1 - WITHIN);
        }
    }

    /**
     * @param viewBoundMicros a view that is older does not count
     * @param patienceMicros a process without word from the quorum serves all the same after this,
     *     by its floor
     * @param holdMicros service must have been full for so long
     */
    public record Bounds(long viewBoundMicros, long patienceMicros, long holdMicros) {}

    /** A phase, since when, and why. */
    public record Step(RecoveryPhase phase, long atMicros, String cause) {}

    private record Way(
            RecoveryPhase from,
            RecoveryPhase to,
            String cause,
            BiPredicate<Recovery, Observation> open) {}

    private static final List<Way> WAYS =
            List.of(
                    new Way(
                            RecoveryPhase.EMPTY,
                            RecoveryPhase.REMEMBERING,
                            "own snapshot is trusted",
                            (r, s) -> s.remembers),
                    new Way(
                            RecoveryPhase.EMPTY,
                            RecoveryPhase.CATCHING_UP,
                            "workers are known",
                            (r, s) -> s.listKnown),
                    new Way(
                            RecoveryPhase.REMEMBERING,
                            RecoveryPhase.CATCHING_UP,
                            "workers are known",
                            (r, s) -> s.listKnown),
                    new Way(
                            RecoveryPhase.CATCHING_UP,
                            RecoveryPhase.RAMPING,
                            "view is new and the share granted",
                            (r, s) -> s.joined && s.viewAgeMicros <= r.bounds.viewBoundMicros),
                    new Way(
                            RecoveryPhase.CATCHING_UP,
                            RecoveryPhase.RAMPING,
                            "no word from the quorum in time",
                            (r, s) -> r.inPhaseMicros() >= r.bounds.patienceMicros),
                    new Way(
                            RecoveryPhase.RAMPING,
                            RecoveryPhase.FULL,
                            "as much is served as before",
                            (r, s) -> r.asBeforeMicros() >= r.bounds.holdMicros),
                    new Way(
                            RecoveryPhase.FULL,
                            RecoveryPhase.RAMPING,
                            "a fault was seen and less is served",
                            (r, s) -> r.faulted && !s.asBefore()));

    private final Bounds bounds;
    private final List<Step> steps = new ArrayList<>();
    private long nowMicros;
    private long fallenShortAt;
    private boolean faulted;

    public Recovery(long nowMicros, Bounds bounds) {
        this.bounds = bounds;
        this.nowMicros = nowMicros;
        fallenShortAt = nowMicros;
        steps.add(new Step(RecoveryPhase.EMPTY, nowMicros, "started"));
    }

    /**
     * Others died or were cut off: what is served from now on is measured against what was served
     * until now.
     */
    public void recordFault() {
        faulted = true;
    }

    /** Looks at what there is now; several phases may be passed at once. */
    public RecoveryPhase update(long now, Observation seen) {
        nowMicros = now;
        if (seen.admitted < 1 || !seen.asBefore()) {
            fallenShortAt = now;
        }
        for (Way way = next(seen); way != null; way = next(seen)) {
            if (steps.size() >= MOST_STEPS) {
                steps.remove(1); // The start stays.
            }
            steps.add(new Step(way.to, now, way.cause));
            faulted = faulted && way.to != RecoveryPhase.RAMPING;
        }
        return phase();
    }

    private Way next(Observation seen) {
        return WAYS.stream()
                .filter(w -> w.from == phase() && w.open.test(this, seen))
                .findFirst()
                .orElse(null);
    }

    private long inPhaseMicros() {
        return nowMicros - last().atMicros;
    }

    private long asBeforeMicros() {
        return Math.min(inPhaseMicros(), nowMicros - fallenShortAt);
    }

    private Step last() {
        return steps.get(steps.size() - 1);
    }

    public RecoveryPhase phase() {
        return last().phase;
    }

    /** All phases so far, for the log and for operators. */
    public List<Step> steps() {
        return List.copyOf(steps);
    }
}
