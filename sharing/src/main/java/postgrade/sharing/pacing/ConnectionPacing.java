package postgrade.sharing.pacing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import postgrade.extension.Host;
import postgrade.policy.api.Job;
import postgrade.policy.api.JobConstraints;
import postgrade.policy.api.WorkerInfo;
import postgrade.recovery.ConnectionPacer;

/**
 * Limits the rate of new connections to workers. A worker without a connection is skipped until the
 * pacer admits one, as long as a connected worker can take the job. A job waits for that only once,
 * until the policy's next decision, and never longer.
 */
public final class ConnectionPacing implements JobConstraints {

    /** A worker with fewer calls of this process in flight can take one more. */
    private static final int SPARE_CAPACITY_CALLS = 2;

    private static final int MAX_TRACKED_JOBS = 1000;

    private final Host host;
    private final ConnectionPacer pacer;

    /**
     * Classes that are not delayed: only some workers can take their jobs, by reservation or by
     * site, and these may have no connection.
     */
    private final Set<String> exemptClasses;

    private final Map<String, Long> firstAskedNs =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > MAX_TRACKED_JOBS;
                }
            };
    private Job cachedJob;
    private long cachedNowNs;
    private boolean cachedWait;

    public ConnectionPacing(Host host, double rateMultiple, Set<String> exemptClasses) {
        this.host = host;
        this.exemptClasses = Set.copyOf(exemptClasses);
        int places = Math.max(1, host.settings().dispatcherCount);
        pacer =
                new ConnectionPacer(
                        places,
                        Math.floorMod(host.name().hashCode(), places),
                        rateMultiple,
                        host.maxIdleMicros());
    }

    /**
     * Updates the rate from the view.
     *
     * @param aliveMembers the live members in the view, 0 if unknown
     */
    public void update(int aliveMembers) {
        pacer.update(host.timers().nowMicros(), aliveMembers, host.maxIdleMicros());
    }

    /**
     * Records that a connection is about to be opened and returns whether the rate allows it. With
     * {@code required}, it is opened in any case, because nothing else can carry the request.
     */
    public boolean mayConnect(String worker, boolean required) {
        return pacer.tryConnect(host.timers().nowMicros(), worker, required);
    }

    @Override
    public double usableShare(long nowNs, Job job, WorkerInfo worker) {
        return exemptClasses.contains(job.jobClass())
                        || host.isConnected(worker.id())
                        || pacer.mayConnect(host.timers().nowMicros(), worker.id())
                        || !shouldWait(nowNs, job)
                ? 1
                : 0;
    }

    /**
     * Returns whether the job should wait for a connected worker. This is asked for each worker but
     * computed once for a job and time.
     */
    private boolean shouldWait(long nowNs, Job job) {
        if (job != cachedJob || nowNs != cachedNowNs) {
            cachedJob = job;
            cachedNowNs = nowNs;
            Long firstAsked = firstAskedNs.putIfAbsent(job.id(), nowNs);
            cachedWait =
                    (firstAsked == null || firstAsked == nowNs)
                            && host.anyConnectedWithCallsBelow(SPARE_CAPACITY_CALLS);
        }
        return cachedWait;
    }

    /**
     * Returns how many connections were opened above the rate because nothing else could carry a
     * request.
     */
    public long forcedCount() {
        return pacer.forcedCount();
    }
}
