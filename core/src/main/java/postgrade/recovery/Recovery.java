package postgrade.recovery;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;

/**
 * The phases of coming back, with the times at which each was reached. All ways from one phase to
 * another stand in {@link #TRANSITIONS} and nowhere else.
 */
public final class Recovery {

    /** Full service: within this part of what was served in time before the fault. */
    public static final double FULL_SERVICE_TOLERANCE = 0.05;

    private static final int MAX_STEPS = 100;

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
            boolean snapshotTrusted,
            boolean workersKnown,
            long viewAgeMicros,
            boolean joined,
            double admittedShare,
            double servedShare,
            double baselineShare) {

        boolean servesAsBefore() {
            return Double.isNaN(servedShare)
                    || Double.isNaN(baselineShare)
                    || servedShare >= baselineShare * (1 - FULL_SERVICE_TOLERANCE);
        }
    }

    /**
     * @param viewBoundMicros a view that is older does not count
     * @param patienceMicros a process without word from the quorum serves all the same after this,
     *     by its floor
     * @param holdMicros service must have been full for so long
     */
    public record Bounds(long viewBoundMicros, long quorumTimeoutMicros, long fullServiceMicros) {}

    /** A phase, since when, and why. */
    public record Step(RecoveryPhase phase, long atMicros, String cause) {}

    private record Transition(
            RecoveryPhase from,
            RecoveryPhase to,
            String cause,
            BiPredicate<Recovery, Observation> condition) {}

    private static final List<Transition> TRANSITIONS =
            List.of(
                    new Transition(
                            RecoveryPhase.EMPTY,
                            RecoveryPhase.REMEMBERING,
                            "own snapshot is trusted",
                            (r, s) -> s.snapshotTrusted),
                    new Transition(
                            RecoveryPhase.EMPTY,
                            RecoveryPhase.CATCHING_UP,
                            "workers are known",
                            (r, s) -> s.workersKnown),
                    new Transition(
                            RecoveryPhase.REMEMBERING,
                            RecoveryPhase.CATCHING_UP,
                            "workers are known",
                            (r, s) -> s.workersKnown),
                    new Transition(
                            RecoveryPhase.CATCHING_UP,
                            RecoveryPhase.RAMPING,
                            "view is new and the share granted",
                            (r, s) -> s.joined && s.viewAgeMicros <= r.bounds.viewBoundMicros),
                    new Transition(
                            RecoveryPhase.CATCHING_UP,
                            RecoveryPhase.RAMPING,
                            "no word from the quorum in time",
                            (r, s) -> r.inPhaseMicros() >= r.bounds.quorumTimeoutMicros),
                    new Transition(
                            RecoveryPhase.RAMPING,
                            RecoveryPhase.FULL,
                            "as much is served as before",
                            (r, s) -> r.asBeforeMicros() >= r.bounds.fullServiceMicros),
                    new Transition(
                            RecoveryPhase.FULL,
                            RecoveryPhase.RAMPING,
                            "a fault was seen and less is served",
                            (r, s) -> r.faultPending && !s.servesAsBefore()));

    private final Bounds bounds;
    private final List<Step> steps = new ArrayList<>();
    private long nowMicros;
    private long lastShortfallMicros;
    private boolean faultPending;

    public Recovery(long nowMicros, Bounds bounds) {
        this.bounds = bounds;
        this.nowMicros = nowMicros;
        lastShortfallMicros = nowMicros;
        steps.add(new Step(RecoveryPhase.EMPTY, nowMicros, "started"));
    }

    /**
     * Others died or were cut off: what is served from now on is measured against what was served
     * until now.
     */
    public void recordFault() {
        faultPending = true;
    }

    /** Looks at what there is now; several phases may be passed at once. */
    public RecoveryPhase update(long now, Observation observation) {
        nowMicros = now;
        if (observation.admittedShare < 1 || !observation.servesAsBefore()) {
            lastShortfallMicros = now;
        }
        for (Transition transition = nextTransition(observation);
                transition != null;
                transition = nextTransition(observation)) {
            if (steps.size() >= MAX_STEPS) {
                steps.remove(1); // The start stays.
            }
            steps.add(new Step(transition.to, now, transition.cause));
            faultPending = faultPending && transition.to != RecoveryPhase.RAMPING;
        }
        return phase();
    }

    private Transition nextTransition(Observation observation) {
        return TRANSITIONS.stream()
                .filter(
                        transition ->
                                transition.from == phase()
                                        && transition.condition.test(this, observation))
                .findFirst()
                .orElse(null);
    }

    private long inPhaseMicros() {
        return nowMicros - last().atMicros;
    }

    private long asBeforeMicros() {
        return Math.min(inPhaseMicros(), nowMicros - lastShortfallMicros);
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
