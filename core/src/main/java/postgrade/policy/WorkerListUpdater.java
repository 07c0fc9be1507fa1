package postgrade.policy;

import java.util.List;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerListUpdateType;
import postgrade.policy.api.WorkerPhase;

/**
 * Applies updates of the worker list, and subscribes to it again after a failure.
 *
 * <p>A list may be wrong: empty, outdated, or reporting a serving worker as gone. If by the
 * settings only draining excludes a worker, a worker that is no longer listed stays in use until
 * failed connections eject it, and is removed after several consecutive ejections. Drains are
 * remembered for a time, so that an outdated list does not undo them.
 */
final class WorkerListUpdater {

    /** Token of the timer after which the list is requested again. */
    static final String RETRY_TIMER = "ask";

    /** First pause before the list is requested again. */
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

    void update(long nowNs, WorkerListUpdateType type, List<WorkerInfo> list) {
        slowStart.workerListKnown(nowNs);
        if (type == WorkerListUpdateType.FAILED) {
            scheduleRetry();
            return;
        }
        if (type == WorkerListUpdateType.CACHED && context.settings().pollsWorkerList) {
            context.actions().watchWorkers();
        } else {
            retryNs = INITIAL_RETRY_NS;
        }
        boolean keepsUnlisted = context.settings().keepsUnlistedWorkers;
        if (type != WorkerListUpdateType.DELTA) {
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

    /** Schedules a retry after a pause that doubles with each failure, with random jitter. */
    private void scheduleRetry() {
        long pauseNs = retryNs / 2 + context.random().nextLong(retryNs);
        context.actions().startTimer(RETRY_TIMER, pauseNs);
        retryNs = Math.min(INITIAL_RETRY_NS << OutlierDetector.MAX_DOUBLINGS, retryNs * 2);
    }
}
