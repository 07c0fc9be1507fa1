package postgrade.window;

import java.util.List;

/**
 * What a job asks for, in instants.
 *
 * @param earliest it must not start before
 * @param deadline it must have ended by; {@link Long#MAX_VALUE} for none
 * @param lasts how long it takes
 * @param sites where it may run
 */
public record StartPlan(
        long earliestStart, long deadline, long durationMillis, List<String> sites) {

    /** Guards sums of times against running over. */
    public static final long MAX_DURATION_MILLIS = 3_660L * 86_400_000;

    private static final long FARTHEST = 400_000_000_000_000L;

    public StartPlan {
        if (durationMillis < 0 || durationMillis > MAX_DURATION_MILLIS) {
            throw new IllegalArgumentException(
                    "lasts must lie between 0 and " + MAX_DURATION_MILLIS + " ms");
        }
        far("earliest", earliestStart);
        if (deadline != Long.MAX_VALUE) {
            far("deadline", deadline);
        }
        sites = List.copyOf(sites);
    }

    private static void far(String name, long time) {
        if (time < -FARTHEST || time > FARTHEST) {
            throw new IllegalArgumentException(name + " must lie within the years -9999 to 9999");
        }
    }

    /**
     * The first time at which it would end too late; half-open, so it may start at the millisecond
     * before.
     */
    long startsEnd() {
        return deadline == Long.MAX_VALUE ? Long.MAX_VALUE / 4 : deadline - durationMillis + 1;
    }
}
