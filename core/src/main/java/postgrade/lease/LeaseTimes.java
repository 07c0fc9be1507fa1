package postgrade.lease;

import postgrade.shared.ReplicatedStateMachine;

/**
 * The times that keep two holders apart, and the inequality between them. They are the same in
 * every process, as part of the program and not of its settings: voters with different values would
 * arrive at different rows.
 *
 * <p>A process uses a holder's privilege while its view is at most {@code viewBound} old by its own
 * clock, counted from the time at which the pull was sent. An accelerator that a holder no longer
 * has rests for {@code grace} of log time before it is granted to another holder. Let {@code
 * clockRatio} be the maximum ratio between two clocks over the same interval, and {@code
 * uncommitted} the maximum part of an entry's own commit delay that log time counts. Then a process
 * has stopped using an accelerator before another holder is granted it, provided that
 *
 * <pre>grace >= viewBound * clockRatio + uncommitted</pre>
 *
 * docs/reservations.md derives it.
 */
public record LeaseTimes(
        long graceMicros, long viewBoundMicros, double clockRatio, long uncommittedMicros) {

    /**
     * Views are used for 1.5 seconds, accelerators rest for three, and no entry counts more than
     * the state machine permits.
     */
    public static final LeaseTimes DEFAULT =
            new LeaseTimes(3_000_000, 1_500_000, 1.03, ReplicatedStateMachine.MAX_ADVANCE_MICROS);

    public LeaseTimes {
        if (viewBoundMicros <= 0 || clockRatio < 1 || uncommittedMicros < 0) {
            throw new IllegalArgumentException("times must be positive and clockRatio at least 1");
        }
        if (graceMicros < viewBoundMicros * clockRatio + uncommittedMicros) {
            throw new IllegalArgumentException(
                    "graceMicros must be at least viewBoundMicros * clockRatio"
                            + " + uncommittedMicros");
        }
    }

    /** Whether a view of this age may still be used for a privilege. */
    public boolean fresh(long ageMicros) {
        return ageMicros >= 0 && ageMicros <= viewBoundMicros;
    }

    /**
     * The time after the decision of its last renewal from which no process uses a holder's
     * privilege any more, by any clock.
     *
     * @param ttlMicros its time to live
     * @param advanceIntervalMicros interval between two entries that advance log time: one interval
     *     passes until the count begins and one at its end
     * @param stallMicros how long log time stood still or fell behind, because there was no leader
     *     or commits were slow
     */
    public long maxUseAfterRenewalMicros(
            long ttlMicros, long advanceIntervalMicros, long stallMicros) {
        return (long)
                        Math.ceil(
                                (ttlMicros + 2 * advanceIntervalMicros + viewBoundMicros)
                                        * clockRatio)
                + stallMicros;
    }
}
