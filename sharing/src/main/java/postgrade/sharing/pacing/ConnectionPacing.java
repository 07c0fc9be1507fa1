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
 * Paces new connections to workers. A worker without one is passed over until its gate opens, as
 * long as another that has one can take the job; a job waits for that once, to the module's next
 * look, and never longer.
 */
public final class ConnectionPacing implements JobConstraints {

    /** A worker that holds fewer of our calls can take one more. */
    private static final int SPARE_CAPACITY_CALLS = 2;

    private static final int MAX_TRACKED_JOBS = 1000;

    private final Host host;
    private final ConnectionPacer pacer;

    /**
     * Classes that cannot go just anywhere: what is reserved for them, or their sites, may have no
     * connection.
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
     * @param alive members by the view, 0 where it does not tell
     */
    public void update(int aliveMembers) {
        pacer.update(host.timers().nowMicros(), aliveMembers, host.maxIdleMicros());
    }

    /** One is to be opened, and must be if nothing else can carry the request. */
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

    /** Asked for each worker, and told by one look at all of them for a job. */
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

    /** Connections opened against the pace, since nothing else could carry a request. */
    public long forcedCount() {
        return pacer.forcedCount();
    }
}
