package postgrade.quorum.engine;

/**
 * Leader stickiness of a restarted voter. It acts as if it had just heard from the leader, whether
 * or not a message of the leader has reached it yet: for one election timeout it neither requests
 * nor grants votes. Guards against two restarted voters that elect one of themselves although a
 * leader is alive.
 *
 * <p>If the peers report that there is no leader, there is nothing to wait for.
 */
final class LeaderStickiness {

    private final long untilMicros;
    private boolean released;

    /**
     * Creates the state.
     *
     * @param untilMicros end of the waiting time on the process's monotonic clock
     */
    private LeaderStickiness(long untilMicros, boolean released) {
        this.untilMicros = untilMicros;
        this.released = released;
    }

    /** For a voter whose peers follow a leader, or may do so. */
    static LeaderStickiness until(long micros) {
        return new LeaderStickiness(micros, false);
    }

    /** For a voter whose peers follow no leader. */
    static LeaderStickiness none() {
        return new LeaderStickiness(0, true);
    }

    /** Whether a leader is still assumed to be alive. */
    boolean holds(long nowMicros) {
        return !released && nowMicros < untilMicros;
    }

    /** Ends the waiting, as the peers follow no leader. */
    void release() {
        released = true;
    }
}
