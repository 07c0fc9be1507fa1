package postgrade.window;

import java.util.List;

/**
 * The start constraints of a job, as instants.
 *
 * @param earliestStart the job must not start before this
 * @param deadline the job must have ended by this; {@link Long#MAX_VALUE} for none
 * @param durationMillis how long the job takes
 * @param sites where the job may run
 */
public record StartPlan(
        long earliestStart, long deadline, long durationMillis, List<String> sites) {

    /** Prevents overflow in sums of times. */
    public static final long MAX_DURATION_MILLIS = 3_660L * 86_400_000;

    private static final long MAX_ABS_TIME_MILLIS = 400_000_000_000_000L;

    public StartPlan {
        if (durationMillis < 0 || durationMillis > MAX_DURATION_MILLIS) {
            throw new IllegalArgumentException(
                    "lasts must lie between 0 and " + MAX_DURATION_MILLIS + " ms");
        }
        checkRange("earliest", earliestStart);
        if (deadline != Long.MAX_VALUE) {
            checkRange("deadline", deadline);
        }
        sites = List.copyOf(sites);
    }

    private static void checkRange(String name, long time) {
        if (time < -MAX_ABS_TIME_MILLIS || time > MAX_ABS_TIME_MILLIS) {
            throw new IllegalArgumentException(name + " must lie within the years -9999 to 9999");
        }
    }

    /**
     * Returns the first start time at which the job would end too late; exclusive, so the job may
     * start one millisecond earlier.
     */
    long latestStartExclusive() {
        return deadline == Long.MAX_VALUE ? Long.MAX_VALUE / 4 : deadline - durationMillis + 1;
    }
}
