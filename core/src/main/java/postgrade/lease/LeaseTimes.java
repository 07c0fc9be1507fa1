package postgrade.lease;

import postgrade.shared.ReplicatedStateMachine;

/**
 * The times that keep two holders apart, and the inequality between them. Every process has the
 * same: they are part of the program and not of its settings, since voters that differed in them
 * would come to different rows.
 *
 * <p>A process uses a holder's privilege while its view is at most {@code viewBound} old by its own
 * clock, counted from when the pull was sent. An accelerator that a holder no longer has rests for
 * {@code grace} of the log's time before anybody else gets it. With {@code clockRatio} the most by
 * which two clocks differ over the same stretch, and {@code uncommitted} the most of an entry's own
 * way to its commit that the log's time counts, a process has stopped before others are granted it
 * where
 *
 * <pre>grace >= viewBound * clockRatio + uncommitted</pre>
 *
 * docs/reservations.md derives it.
 */
public record LeaseTimes(
        long graceMicros, long viewBoundMicros, double clockRatio, long uncommittedMicros) {

    /**
     * A second and a half to go on without word; three seconds of rest; no entry counts more than
     * the machine lets it.
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

    /** A view this old may still be used for a privilege. */
    public boolean fresh(long ageMicros) {
        return ageMicros >= 0 && ageMicros <= viewBoundMicros;
    }

    /**
     * How long after its last renewal was decided nobody uses a holder's privilege any more, by any
     * clock.
     *
     * @param ttlMicros its time to live
     * @param stepMicros between two entries that move the log's time on: one until the count
     *     begins, one at its end
     * @param standstillMicros for how long the log's time stood or fell behind: nobody led, or
     *     commits took long
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
