package postgrade.recovery;

import java.util.HashMap;
import java.util.Map;
import postgrade.recovery.ThunderingHerdLimits.LoadKind;
import postgrade.recovery.ThunderingHerdLimits.SteadyRates;

/**
 * Paces the connections that a process opens to workers, so that all processes together open them
 * at a worker no faster than a multiple of the steady rate. The steady rate follows from the
 * settings: an idle connection is kept for a fixed time, so each process opens at most one new
 * connection per worker within that time. Each worker has its own pacer, and each process its own
 * phase.
 */
public final class ConnectionPacer {

    /**
     * Bounds memory if worker ids keep changing; beyond it all pacers are dropped and start anew.
     */
    private static final int MAX_WORKERS = 10_000;

    private final int processCount;
    private final int processIndex;
    private final double multiple;
    private final Map<String, Pacer> pacers = new HashMap<>();

    /**
     * Time of the first call. Time before it, when nobody was served, must not count as time in
     * which the workers were spared.
     */
    private long startMicros = -1;

    private ThunderingHerdLimits limits;
    private long idleTimeoutMicros;
    private int liveMembers;
    private long forcedConnections;

    /**
     * @param processIndex of this process among all, from 0
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
     * Adopts the present number of live members and the idle timeout of connections.
     *
     * @param members number of live members, 0 if unknown
     * @param newIdleTimeoutMicros how long an idle connection is now kept
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
        // All pacers count from the start: a worker that is contacted later has not been contacted
        // since.
        return pacers.computeIfAbsent(
                worker, id -> limits.pacer(startMicros, LoadKind.CONNECT, liveMembers, id));
    }

    /** Whether a connection may be opened now. */
    public boolean mayConnect(long nowMicros, String worker) {
        return pacer(nowMicros, worker).waitMicros(nowMicros) == 0;
    }

    /**
     * Tries to open a connection: true if the pacer permits it. The connection is counted if it is
     * permitted or required.
     */
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

    /** Number of connections that were opened without a permit because they were required. */
    public long forcedCount() {
        return forcedConnections;
    }
}
