package postgrade.recovery;

import java.util.HashMap;
import java.util.Map;
import postgrade.recovery.ThunderingHerdLimits.LoadKind;
import postgrade.recovery.ThunderingHerdLimits.SteadyRates;

/**
 * When a process may open connections to workers, so that all together open them no faster at a
 * worker than a multiple of the steady rate. Steady is what comes of the settings: an idle
 * connection is kept for so long, so each of the processes makes anew at most one connection to
 * each worker within that time. A gate for each worker, each process at its own phase.
 */
public final class ConnectionPacer {

    /**
     * Guards the memory against worker ids without end; those that went are forgotten first come,
     * first gone.
     */
    private static final int MAX_WORKERS = 10_000;

    private final int processCount;
    private final int processIndex;
    private final double multiple;
    private final Map<String, Pacer> pacers = new HashMap<>();

    /**
     * When it was first asked: what passed before, while nobody was served, is no time in which
     * others were spared.
     */
    private long startMicros = -1;

    private ThunderingHerdLimits limits;
    private long idleTimeoutMicros;
    private int liveMembers;
    private long forcedConnections;

    /**
     * @param place of this process among all, from 0
     */
    public ConnectionPacer(
            int processCount, int processIndex, double multiple, long idleTimeoutMicros) {
        this.processCount = processCount;
        this.processIndex = processIndex;
        this.multiple = multiple;
        setIdleTimeout(idleTimeoutMicros);
    }

    private void setIdleTimeout(long timeoutMicros) {
        idleTimeoutMicros = timeoutMicros;
        double perWorker = processCount * 1e6 / Math.max(1, timeoutMicros);
        limits =
                new ThunderingHerdLimits(
                        new SteadyRates(0, 0, perWorker, 0, 0),
                        multiple,
                        processCount,
                        processIndex);
    }

    /**
     * @param members that live, 0 where nobody knows @param idleMicros for how long an idle
     *     connection is kept now
     */
    public void update(long nowMicros, int members, long newIdleTimeoutMicros) {
        if (members != liveMembers || newIdleTimeoutMicros != idleTimeoutMicros) {
            liveMembers = members;
            setIdleTimeout(newIdleTimeoutMicros);
            pacers.values()
                    .forEach(
                            pacer ->
                                    pacer.setRate(
                                            nowMicros,
                                            limits.perSecond(LoadKind.CONNECT, liveMembers)));
        }
    }

    private Pacer pacer(long nowMicros, String worker) {
        startMicros = startMicros < 0 ? nowMicros : startMicros;
        if (pacers.size() > MAX_WORKERS) {
            pacers.clear();
        }
        // All gates count from the start: a worker that is called on later has been left alone as
        // long.
        return pacers.computeIfAbsent(
                worker, id -> limits.pacer(startMicros, LoadKind.CONNECT, liveMembers, id));
    }

    /** Whether one may be opened now. */
    public boolean mayConnect(long nowMicros, String worker) {
        return pacer(nowMicros, worker).waitMicros(nowMicros) == 0;
    }

    /** One is to be opened: true if it may, and then it is counted; it is too if it must. */
    public boolean tryConnect(long nowMicros, String worker, boolean required) {
        if (pacer(nowMicros, worker).tryAcquire(nowMicros)) {
            return true;
        }
        if (required) {
            forcedConnections++;
            pacer(nowMicros, worker).forceAcquire(nowMicros);
        }
        return false;
    }

    /** How many were opened because they must. */
    public long forcedCount() {
        return forcedConnections;
    }
}
