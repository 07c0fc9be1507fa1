package postgrade.extension;

import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import postgrade.dispatch.Timers;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.PolicyStateEntry;

/**
 * The dispatcher as seen by its extension. To be used on the loop's thread, except for the clocks
 * {@link #monotonicMicros} and {@link #unixMillis}, and {@link #loopExecutor}.
 */
public interface Host {

    String name();

    /** Returns the settings in force; a reload may replace them. */
    PolicySettings settings();

    /** Returns the loop's timers and its clock, which is constant during an iteration. */
    Timers timers();

    /** Returns the loop's clock, read anew at each call; for any thread. */
    LongSupplier monotonicMicros();

    /** Returns the wall clock, which may jump; for any thread. */
    LongSupplier unixMillis();

    /** Returns an executor that runs tasks on the loop; may be called from any thread. */
    Executor loopExecutor();

    // ---- Learnt state of the policy.

    /** Returns a copy of the figures that the policy has learnt. */
    List<PolicyStateEntry> exportPolicyState();

    /**
     * Gives the policy figures learnt elsewhere; those of workers it does not know yet are skipped.
     */
    void importPolicyState(List<PolicyStateEntry> all);

    /**
     * Returns whether this process started with state handed over by a running one, which is newer
     * than any file.
     */
    boolean startedByHandOver();

    /**
     * Returns the state that the extension of the previous process handed over; empty if there was
     * none or it did not arrive.
     */
    String predecessorState();

    // ---- Processes and workers.

    /** Returns whether no other process of this dispatcher is running. */
    boolean isOnlyProcess();

    /** Returns whether it serves clients and at least one worker is available. */
    boolean isReady();

    List<WorkerStatus> workers();

    /**
     * A worker as known to the dispatcher.
     *
     * @param startedMillis the start time by the wall clock as reported by discovery, 0 for long
     *     ago
     * @param inMaintenance whether an operator has put it into maintenance
     */
    record WorkerStatus(
            String id,
            String zone,
            String kind,
            double weight,
            long startedMillis,
            boolean ready,
            boolean inMaintenance) {}

    /** Returns whether a connection to the worker is open or being opened. */
    boolean isConnected(String workerId);

    /**
     * Returns whether some worker that accepts jobs has a connection and fewer calls in flight from
     * this process than given.
     */
    boolean anyConnectedWithCallsBelow(int fewerThan);

    /** Returns how long an idle connection to a worker is kept at most. */
    long maxIdleMicros();

    /**
     * Puts a worker into maintenance as an operator's call would. Returns false if it already is.
     */
    boolean enterMaintenance(String workerId);

    boolean exitMaintenance(String workerId);

    // ---- Limits that the extension sets.

    /**
     * Sets this process's share of each rate limit, as a multiple of an even share; 1 until this is
     * called.
     */
    void setRateFactor(double factor);
}
