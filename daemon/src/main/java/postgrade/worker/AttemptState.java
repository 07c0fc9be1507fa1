package postgrade.worker;

import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/** How far an attempt has come. What follows what stands in {@link #NEXT} alone. */
enum AttemptState {
    /** Waits for a connection or for its answer: its link and what has been written tell which. */
    PENDING,
    /** The worker has answered 202, and its call-back is awaited. */
    ACCEPTED,
    /** The worker may have it, and is being told to drop it. */
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
