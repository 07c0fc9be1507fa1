package postgrade.sharing.pace;

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
public final class Connecting implements JobConstraints {

    /** A worker that holds fewer of our calls can take one more. */
    private static final int FEW = 2;

    private static final int MOST_WAITING = 1000;

    private final Host host;
    private final ConnectionPacer openings;

    /**
     * Classes that cannot go just anywhere: what is reserved for them, or their sites, may have no
     * connection.
     */
    private final Set<String> bound;

    private final Map<String, Long> waiting =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > MOST_WAITING;
                }
            };
    private Job asked;
    private long askedNs;
    private boolean othersCan;

    public Connecting(Host host, double multiple, Set<String> bound) {
        this.host = host;
        this.bound = Set.copyOf(bound);
        int places = Math.max(1, host.settings().dispatcherCount);
        openings =
                new ConnectionPacer(
                        places,
                        Math.floorMod(host.name().hashCode(), places),
                        multiple,
                        host.maxIdleMicros());
    }

    /**
     * @param alive members by the view, 0 where it does not tell
     */
    public void look(int alive) {
        openings.update(host.timers().nowMicros(), alive, host.maxIdleMicros());
    }

    /** One is to be opened, and must be if nothing else can carry the request. */
    public boolean mayConnect(String worker, boolean must) {
        return openings.tryConnect(host.timers().nowMicros(), worker, must);
    }

    @Override
    public double usableShare(long nowNs, Job job, WorkerInfo worker) {
        return bound.contains(job.jobClass())
                        || host.isConnected(worker.id())
                        || openings.mayConnect(host.timers().nowMicros(), worker.id())
                        || !othersCan(nowNs, job)
                ? 1
                : 0;
    }

    /** Asked for each worker, and told by one look at all of them for a job. */
    private boolean othersCan(long nowNs, Job job) {
        if (job != asked || nowNs != askedNs) {
            asked = job;
            askedNs = nowNs;
            Long since = waiting.putIfAbsent(job.id(), nowNs);
            othersCan = (since == null || since == nowNs) && host.anyConnectedWithCallsBelow(FEW);
        }
        return othersCan;
    }

    /** Connections opened against the pace, since nothing else could carry a request. */
    public long forced() {
        return openings.forcedCount();
    }
}
