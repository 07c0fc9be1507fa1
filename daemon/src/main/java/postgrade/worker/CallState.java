package postgrade.worker;

import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/** How far an attempt has come. What follows what stands in {@link #NEXT} alone. */
enum CallState {
    /** Waits for a connection or for its answer: its link and what has been written tell which. */
    OUT,
    /** The worker has answered 202, and its call-back is awaited. */
    TAKEN,
    /** The worker may have it, and is being told to drop it. */
    GIVING_UP,
    ENDED;

    private static final Map<CallState, Set<CallState>> NEXT =
            Map.of(
                    OUT, EnumSet.of(TAKEN, GIVING_UP, ENDED),
                    TAKEN, EnumSet.of(GIVING_UP, ENDED),
                    GIVING_UP, EnumSet.of(ENDED),
                    ENDED, EnumSet.noneOf(CallState.class));

    boolean mayBecome(CallState next) {
        return NEXT.get(this).contains(next);
    }
}
