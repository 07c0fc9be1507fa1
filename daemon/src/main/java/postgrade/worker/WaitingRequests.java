package postgrade.worker;

import java.util.ArrayDeque;
import java.util.ArrayList;

/** The requests to one worker that wait for a connection, the one that waits longest in front. */
final class WaitingRequests {

    private final ArrayDeque<WorkerRequest> queue = new ArrayDeque<>();

    void add(WorkerRequest request) {
        queue.add(request);
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    int size() {
        return queue.size();
    }

    WorkerRequest first() {
        return queue.peek();
    }

    WorkerRequest takeFirst() {
        return queue.poll();
    }

    /** The request waits no longer, and hears nothing. */
    void withdraw(WorkerRequest request) {
        queue.remove(request);
        request.finished = true;
    }

    /** The request has waited in vain, and hears so. */
    void fail(WorkerRequest request, WorkerRequest.Failure failure) {
        withdraw(request);
        request.onFailure(failure);
    }

    /**
     * Guards what must not run twice: a repeat whose connection has come up too late is not
     * written.
     */
    WorkerRequest firstWritable(long nowMicros) {
        WorkerRequest next = queue.peek();
        while (next != null && next.isLate(nowMicros)) {
            fail(next, WorkerRequest.Failure.TOO_LATE);
            next = queue.peek();
        }
        return next;
    }

    /** New work is not sent any more; cancellations go on. */
    void failNewWork() {
        for (WorkerRequest request : new ArrayList<>(queue)) {
            if (request.isNewWork()) {
                fail(request, WorkerRequest.Failure.DRAINED);
            }
        }
    }
}
