package postgrade.worker;

import java.util.ArrayDeque;
import java.util.ArrayList;

/** The requests to one worker that wait for a connection, longest-waiting first. */
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

    /** Removes the request without notifying it. */
    void withdraw(WorkerRequest request) {
        queue.remove(request);
        request.finished = true;
    }

    /** Removes the request and notifies it of the failure. */
    void fail(WorkerRequest request, WorkerRequest.Failure failure) {
        withdraw(request);
        request.onFailure(failure);
    }

    /**
     * Returns the first request that may still be written, failing those that are too late. Guards
     * jobs that must not run twice: a retry whose connection came up too late is not written.
     */
    WorkerRequest firstWritable(long nowMicros) {
        WorkerRequest next = queue.peek();
        while (next != null && next.isLate(nowMicros)) {
            fail(next, WorkerRequest.Failure.TOO_LATE);
            next = queue.peek();
        }
        return next;
    }

    /** Fails new work; cancellations continue. */
    void failNewWork() {
        for (WorkerRequest request : new ArrayList<>(queue)) {
            if (request.isNewWork()) {
                fail(request, WorkerRequest.Failure.DRAINED);
            }
        }
    }
}
