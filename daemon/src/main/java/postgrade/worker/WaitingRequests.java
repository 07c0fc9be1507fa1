package postgrade.worker;

import java.util.ArrayDeque;
import java.util.ArrayList;

/** The requests to one worker that wait for a connection, the one that waits longest in front. */
final class WaitingRequests {

    private final ArrayDeque<Request> queue = new ArrayDeque<>();

    void add(Request request) {
        queue.add(request);
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    int size() {
        return queue.size();
    }

    Request first() {
        return queue.peek();
    }

    Request takeFirst() {
        return queue.poll();
    }

    /** The request waits no longer, and hears nothing. */
    void withdraw(Request request) {
        queue.remove(request);
        request.over = true;
    }

    /** The request has waited in vain, and hears so. */
    void fail(Request request, Request.Break how) {
        withdraw(request);
        request.broken(how);
    }

    /**
     * Guards what must not run twice: a repeat whose connection has come up too late is not
     * written.
     */
    Request firstInTime(long nowMicros) {
        Request next = queue.peek();
        while (next != null && next.isLate(nowMicros)) {
            fail(next, Request.Break.TOO_LATE);
            next = queue.peek();
        }
        return next;
    }

    /** New work is not sent any more; cancellations go on. */
    void failNewWork() {
        for (Request request : new ArrayList<>(queue)) {
            if (request.isNewWork()) {
                fail(request, Request.Break.DRAINED);
            }
        }
    }
}
