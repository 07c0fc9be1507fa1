package postgrade.gateway;

import postgrade.policy.api.AttemptOutcome;

/** Sees what becomes of invocations and their calls, and changes nothing of it. */
public interface Witness {

    Witness NONE = new Witness() {};

    /**
     * An invocation has its final answer, so long after it came; what its consumer gave up on has
     * none.
     */
    default void answered(String id, String jobClass, long afterMicros, boolean served) {}

    /**
     * A call to a provider has ended, so long after it began there, or was sent where nobody told
     * of its beginning.
     */
    default void ended(String jobClass, AttemptOutcome outcome, long ranMicros) {}
}
