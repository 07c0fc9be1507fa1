package postgrade.recovery;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;

/**
 * The state machine of recovery, with the time at which each phase was reached. {@link
 * #TRANSITIONS} holds all transitions between phases.
 */
public final class Recovery {

    /**
     * Service counts as full within this relative distance of what was served in time before the
     * fault.
     */
    public static final double FULL_SERVICE_TOLERANCE = 0.05;

    private static final int MAX_STEPS = 100;

    /**
     * The present condition of this process.
     *
     * @param snapshotTrusted its own snapshot was loaded and trusted
     * @param workersKnown it has a list of workers, from discovery or from its snapshot
     * @param viewAgeMicros age of the replicated state; any value if no state is shared
     * @param joined its share was granted, or no state is shared
     * @param admittedShare share of the jobs within its quotas that are admitted, 1 once the ramp
     *     has finished
     * @param servedShare recent worth served in time as a share of the requested worth; NaN if
     *     there were no requests
     * @param baselineShare the same before the fault; NaN if unknown
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
     * Time bounds of the transitions.
     *
     * @param viewBoundMicros an older view does not count
     * @param quorumTimeoutMicros without a response from the quorum for this long, a process serves
     *     at its floor
     * @param fullServiceMicros how long service must have been full
     */
    public record Bounds(long viewBoundMicros, long quorumTimeoutMicros, long fullServiceMicros) {}

    /** A phase, the time at which it began, and the cause. */
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
                            (recovery, observation) -> observation.snapshotTrusted),
                    new Transition(
                            RecoveryPhase.EMPTY,
                            RecoveryPhase.CATCHING_UP,
                            "workers are known",
                            (recovery, observation) -> observation.workersKnown),
                    new Transition(
                            RecoveryPhase.REMEMBERING,
                            RecoveryPhase.CATCHING_UP,
                            "workers are known",
                            (recovery, observation) -> observation.workersKnown),
                    new Transition(
                            RecoveryPhase.CATCHING_UP,
                            RecoveryPhase.RAMPING,
                            "view is new and the share granted",
                            (recovery, observation) ->
                                    observation.joined
                                            && observation.viewAgeMicros
                                                    <= recovery.bounds.viewBoundMicros),
                    new Transition(
                            RecoveryPhase.CATCHING_UP,
                            RecoveryPhase.RAMPING,
                            "no word from the quorum in time",
                            (recovery, observation) ->
                                    recovery.inPhaseMicros()
                                            >= recovery.bounds.quorumTimeoutMicros),
                    new Transition(
                            RecoveryPhase.RAMPING,
                            RecoveryPhase.FULL,
                            "as much is served as before",
                            (recovery, observation) ->
                                    recovery.servesAsBeforeMicros()
                                            >= recovery.bounds.fullServiceMicros),
                    new Transition(
                            RecoveryPhase.FULL,
                            RecoveryPhase.RAMPING,
                            "a fault was seen and less is served",
                            (recovery, observation) ->
                                    recovery.faultPending && !observation.servesAsBefore()));

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
     * Other processes died or were cut off: from now on service is compared with what was served
     * until now.
     */
    public void recordFault() {
        faultPending = true;
    }

    /** Evaluates the present condition; several transitions may follow at once. */
    public RecoveryPhase update(long now, Observation observation) {
        nowMicros = now;
        if (observation.admittedShare < 1 || !observation.servesAsBefore()) {
            lastShortfallMicros = now;
        }
        for (Transition transition = nextTransition(observation);
                transition != null;
                transition = nextTransition(observation)) {
            if (steps.size() >= MAX_STEPS) {
                steps.remove(1); // The first step, the start, is kept.
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
        return nowMicros - lastStep().atMicros;
    }

    private long servesAsBeforeMicros() {
        return Math.min(inPhaseMicros(), nowMicros - lastShortfallMicros);
    }

    private Step lastStep() {
        return steps.get(steps.size() - 1);
    }

    public RecoveryPhase phase() {
        return lastStep().phase;
    }

    /** All phases so far, for the log and for operators. */
    public List<Step> steps() {
        return List.copyOf(steps);
    }
}
