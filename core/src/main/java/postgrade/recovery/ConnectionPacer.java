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
    private static final int MOST_WORKERS = 10_000;

    private final int places;
    private final int place;
    private final double multiple;
    private final Map<String, Pacer> gates = new HashMap<>();

    /**
     * When it was first asked: what passed before, while nobody was served, is no time in which
     * others were spared.
     */
    private long begunMicros = -1;

    private ThunderingHerdLimits stampede;
    private long keptMicros;
    private int alive;
    private long forced;

    /**
     * @param place of this process among all, from 0
     */
    public ConnectionPacer(int places, int place, double multiple, long keptMicros) {
        this.places = places;
        this.place = place;
        this.multiple = multiple;
        kept(keptMicros);
    }

    private void kept(long micros) {
        keptMicros = micros;
        double perWorker = places * 1e6 / Math.max(1, micros);
        stampede =
                new ThunderingHerdLimits(
                        new SteadyRates(0, 0, perWorker, 0, 0), multiple, places, place);
    }

    /**
     * @param members that live, 0 where nobody knows @param idleMicros for how long an idle
     *     connection is kept now
     */
    public void update(long nowMicros, int members, long idleMicros) {
        if (members != alive || idleMicros != keptMicros) {
            alive = members;
            kept(idleMicros);
            gates.values()
                    .forEach(
                            g -> g.setRate(nowMicros, stampede.perSecond(LoadKind.CONNECT, alive)));
        }
    }

    private Pacer gate(long nowMicros, String worker) {
        begunMicros = begunMicros < 0 ? nowMicros : begunMicros;
        if (gates.size() > MOST_WORKERS) {
            gates.clear();
        }
        // All gates count from the start: a worker that is called on later has been left alone as
        // long.
        return gates.computeIfAbsent(
                worker, w -> stampede.pacer(begunMicros, LoadKind.CONNECT, alive, w));
    }

    /** Whether one may be opened now. */
    public boolean mayConnect(long nowMicros, String worker) {
        return gate(nowMicros, worker).waitMicros(nowMicros) == 0;
    }

    /** One is to be opened: true if it may, and then it is counted; it is too if it must. */
    public boolean tryConnect(long nowMicros, String worker, boolean must) {
        if (gate(nowMicros, worker).tryAcquire(nowMicros)) {
            return true;
        }
        if (must) {
            forced++;
            gate(nowMicros, worker).forceAcquire(nowMicros);
        }
        return false;
    }

    /** How many were opened because they must. */
    public long forcedCount() {
        return forced;
    }
}
