package postgrade.client;

import postgrade.dispatch.PendingRequest;
import postgrade.dispatch.RequestPayload;
import postgrade.http.BadMessageException;
import postgrade.http.Message;

/** What a whole request asks for: a job, readiness, or the hearing of a call-back. */
final class Requests {

    private Requests() {}

    static void handle(ConsumerConnection on, Message request) {
        String path = request.target().split("\\?", 2)[0];
        if (path.equals("/api") || path.startsWith("/api/")) {
            on.ofConsumer();
            if (request.method().equals("POST")) {
                invoke(on, request);
            } else {
                on.turnAway(405, "only POST is taken here", request.isKeepAlive());
            }
        } else if (path.equals("/-/ready")) {
            on.wasOfUse();
            boolean ready = on.listener.readyToServe();
            on.answer(ready ? 200 : 503, ready ? "ready\n" : "not ready\n", request.isKeepAlive());
        } else if (path.equals(JobEvent.PATH) && request.method().equals("POST")) {
            callBack(on, request);
        } else {
            on.turnAway(404, "no such page", request.isKeepAlive());
        }
    }

    /**
     * A provider takes an answer for the end of its duty: it leaves only once whoever holds the job
     * has the news.
     */
    private static void callBack(ConsumerConnection on, Message request) {
        JobEvent event;
        try {
            event = JobEvent.of(request.body());
        } catch (IllegalArgumentException e) {
            on.turnAway(400, e.getMessage(), request.isKeepAlive());
            return;
        }
        on.wasOfUse();
        if (event.tell(on.listener.gateway) || !on.listener.relay.hasPeers()) {
            on.answer(204, "", request.isKeepAlive());
            return;
        }
        Exchange waits = on.open(request.isKeepAlive());
        on.listener.relay.relay(request.body(), waits::relayed);
    }

    private static void invoke(ConsumerConnection on, Message request) {
        ClientListener listener = on.listener;
        Submission job;
        try {
            job = Submission.of(request, listener);
        } catch (BadMessageException e) {
            on.turnAway(e.status(), e.getMessage(), request.isKeepAlive());
            return;
        }
        Exchange opened = on.open(request.isKeepAlive());
        if (request.body().length > ConsumerConnection.SMALL && listener.holdsTooMuch()) {
            opened.reject(ConsumerConnection.FULL_RETRY_MICROS);
            return;
        }
        opened.size = request.body().length;
        opened.invocation =
                new PendingRequest(
                        job.id(),
                        job.jobClass(),
                        job.tenant(),
                        job.key(),
                        job.slots(),
                        job.memory(),
                        listener.timers.nowMicros() + job.deadlineMicros(),
                        new RequestPayload(
                                request.method(),
                                request.target(),
                                request.header("content-type"),
                                request.header("idempotency-key"),
                                request.body()),
                        opened);
        opened.invocation.setReadDelay(listener.timers.nowMicros() - on.arrivedMicros());
        if (listener.gateway.submit(opened.invocation)) {
            on.wasOfUse();
            if (job.claim() != null && on.awaits(opened)) {
                job.claim().accept(job.id()); // Not of one turned away at once: a later job may
                // have its id.
            }
        } else {
            on.takeBack();
            on.turnAway(409, "a job with this id is open", request.isKeepAlive());
        }
    }
}
