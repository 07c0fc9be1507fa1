package postgrade.policy;

import java.util.List;
import postgrade.policy.State.*;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerListForm;
import postgrade.policy.api.WorkerPhase;

/** What the list of workers tells. */
record Workers(Memory my) {

    /** Wait before the list is asked for again, and for a client where no worker has room. */
    static final long AGAIN_NS = 500_000_000L;

    /** Where only draining binds, an older list may name a drained worker again for so long. */
    private static final long DRAIN_MEMORY_NS = 60_000_000_000L;

    static final String ASK = "ask";

    void list(long nowNs, WorkerListForm form, List<WorkerInfo> workers) {
        my.bootNs = my.bootNs < 0 ? nowNs : my.bootNs;
        if (form == WorkerListForm.FAILED) {
            my.out.startTimer(ASK, my.askAgainNs / 2 + my.random.nextLong(my.askAgainNs));
            my.askAgainNs = Math.min(AGAIN_NS << Health.DOUBLINGS, my.askAgainNs * 2);
            return;
        }
        if (form == WorkerListForm.CACHED && my.set.pollsWorkerList) {
            my.out.watchWorkers();
        } else {
            my.askAgainNs = AGAIN_NS;
        }
        if (form != WorkerListForm.DELTA) {
            my.nodes.values().forEach(this::unlist);
        }
        for (WorkerInfo w : workers) {
            if (w.phase() == WorkerPhase.GONE) {
                unlist(my.nodes.get(w.id()));
                continue;
            }
            Kind kind = my.kinds.computeIfAbsent(w.kind(), k -> new Kind());
            Node n = my.nodes.computeIfAbsent(w.id(), k -> new Node(k, kind));
            n.info = w;
            boolean newStart = w.startedNs() > n.bornNs;
            if (w.phase() == WorkerPhase.DRAINING) {
                n.ready = false;
                n.drainedNs = nowNs;
            } else if (newStart || n.drainedNs == 0 || !my.set.keepsUnlistedWorkers) {
                n.ready = true;
                n.drainedNs = 0;
            }
            n.listed = n.ready;
            if (newStart) {
                n.bornNs = w.startedNs();
                n.room = Double.NaN;
            }
        }
        my.nodes
                .values()
                .removeIf(
                        n ->
                                n.own == 0
                                        && (n.ready
                                                ? !n.listed && n.ejections > Health.DOUBLINGS
                                                : !my.set.keepsUnlistedWorkers
                                                        || n.drainedNs == 0
                                                        || nowNs - n.drainedNs > DRAIN_MEMORY_NS));
        my.ready.clear();
        my.nodes.values().stream().filter(n -> n.ready).forEach(my.ready::add);
        my.meanWeight =
                my.ready.stream()
                        .mapToDouble(n -> n.info.weight())
                        .filter(w -> w > 0)
                        .average()
                        .orElse(1);
    }

    /**
     * A list may be wrong: empty, old, or calling gone what serves. Where only draining binds, a
     * dropped worker stays open until failed connections eject it; several in a row make it
     * forgotten. Its drain is kept too, or an old list would undo it. It would hurt where workers
     * vanish and attempts just hang.
     */
    private void unlist(Node n) {
        if (n != null) {
            n.listed = false;
            n.ready &= my.set.keepsUnlistedWorkers;
        }
    }
}
