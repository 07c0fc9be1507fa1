package postgrade.policy;

import java.util.List;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerListUpdateType;
import postgrade.policy.api.WorkerPhase;

/**
 * Takes in the list of workers and asks for it again after a failure.
 *
 * <p>A list may be wrong: empty, old, or calling a worker gone that serves. Where the settings say
 * that only draining takes a worker out, one that is no longer listed stays in use until failed
 * connections eject it, and is forgotten after several ejections in a row. Its drain is remembered
 * too, or an old list would undo it.
 */
final class WorkerListUpdater {

    /** The token of the timer after which the list is asked for again. */
    static final String RETRY_TIMER = "ask";

    /** The first pause before the list is asked for again. */
    static final long INITIAL_RETRY_NS = 500_000_000L;

    private final PolicyContext context;
    private final WorkerTable workers;
    private final SlowStartLimiter slowStart;
    private long retryNs = INITIAL_RETRY_NS;

    WorkerListUpdater(PolicyContext context, WorkerTable workers, SlowStartLimiter slowStart) {
        this.context = context;
        this.workers = workers;
        this.slowStart = slowStart;
    }

    void update(long nowNs, WorkerListUpdateType form, List<WorkerInfo> list) {
        slowStart.workerListKnown(nowNs);
        if (form == WorkerListUpdateType.FAILED) {
            scheduleRetry();
            return;
        }
        if (form == WorkerListUpdateType.CACHED && context.settings().pollsWorkerList) {
            context.actions().watchWorkers();
        } else {
            retryNs = INITIAL_RETRY_NS;
        }
        boolean keepsUnlisted = context.settings().keepsUnlistedWorkers;
        if (form != WorkerListUpdateType.DELTA) {
            workers.all().forEach(worker -> worker.markUnlisted(keepsUnlisted));
        }
        list.forEach(info -> update(nowNs, info, keepsUnlisted));
        workers.refresh(nowNs, keepsUnlisted);
    }

    private void update(long nowNs, WorkerInfo info, boolean keepsUnlisted) {
        if (info.phase() != WorkerPhase.GONE) {
            workers.getOrAdd(info).updateFromList(nowNs, info, keepsUnlisted);
            return;
        }
        WorkerState known = workers.get(info.id());
        if (known != null) {
            known.markUnlisted(keepsUnlisted);
        }
    }

    /** After a pause that doubles with each failure, spread at random. */
    private void scheduleRetry() {
        long pauseNs = retryNs / 2 + context.random().nextLong(retryNs);
        context.actions().startTimer(RETRY_TIMER, pauseNs);
        retryNs = Math.min(INITIAL_RETRY_NS << OutlierDetector.MAX_DOUBLINGS, retryNs * 2);
    }
}
