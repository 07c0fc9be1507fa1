package postgrade.worker;

import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/** The state of an attempt. {@link #NEXT} alone defines the allowed transitions. */
enum AttemptState {
    /**
     * Waits for a connection or for its response; the connection and what has been written tell
     * which.
     */
    PENDING,
    /** The worker has answered 202, and its call-back is awaited. */
    ACCEPTED,
    /** The worker may have the job, and is being asked to drop it. */
    CANCELLING,
    ENDED;

    private static final Map<AttemptState, Set<AttemptState>> NEXT =
            Map.of(
                    PENDING, EnumSet.of(ACCEPTED, CANCELLING, ENDED),
                    ACCEPTED, EnumSet.of(CANCELLING, ENDED),
                    CANCELLING, EnumSet.of(ENDED),
                    ENDED, EnumSet.noneOf(AttemptState.class));

    boolean canBecome(AttemptState next) {
        return NEXT.get(this).contains(next);
    }
}
