package postgrade.extension;

import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import postgrade.dispatch.Timers;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.PolicyStateEntry;

/**
 * The dispatcher as its companion sees it. For the loop's thread, but for the three clocks and
 * {@link #loopExecutor}.
 */
public interface Host {

    String name();

    /** In force now; a reload may bring others. */
    PolicySettings settings();

    /** The loop's clock, which stands during a turn, and its timers. */
    Timers timers();

    /** The same clock, running on, for any thread. */
    LongSupplier monotonicMicros();

    /** The wall clock, for any thread. It may jump. */
    LongSupplier unixMillis();

    /** Runs a task on the loop; may be called from any thread. */
    Executor loopExecutor();

    // ---- What was learnt.

    /** What the module knows now, as a copy. */
    List<PolicyStateEntry> exportPolicyState();

    /**
     * Tells the module what was learnt elsewhere; it passes over workers that it does not know yet.
     */
    void importPolicyState(List<PolicyStateEntry> all);

    /** This process has begun with what a running one told it, which is newer than any file. */
    boolean startedByHandOver();

    /** What the companion of that process told; empty where there was none, or nothing came. */
    String predecessorState();

    // ---- Who is there.

    /** No other process of this dispatcher lives. */
    boolean isOnlyProcess();

    /** It serves consumers, and some worker is there. */
    boolean isReady();

    List<WorkerStatus> workers();

    /**
     * @param startedMillis of the wall clock as discovery told it, 0 for long ago @param out by an
     *     operator
     */
    record WorkerStatus(
            String id,
            String zone,
            String kind,
            double weight,
            long startedMillis,
            boolean ready,
            boolean inMaintenance) {}

    /** A connection to the worker is up, or on its way. */
    boolean isConnected(String workerId);

    /** Some worker that takes jobs has a connection, and fewer calls of this process than that. */
    boolean anyConnectedWithCallsBelow(int fewerThan);

    /** For how long an idle connection to a worker is kept at most. */
    long maxIdleMicros();

    /** Takes a worker out as an operator's call would; false if it is out already. */
    boolean enterMaintenance(String workerId);

    boolean exitMaintenance(String workerId);

    // ---- What it has a say in.

    /** This process may use so many times the even part of each rate; 1 until this is called. */
    void setRateFactor(double factor);
}
