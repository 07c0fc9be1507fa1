package postgrade.client;

import postgrade.dispatch.PendingRequest;
import postgrade.dispatch.RequestPayload;
import postgrade.http.BadMessageException;
import postgrade.http.Message;

/** Routes complete requests: job submissions, readiness checks and call-backs. */
final class RequestRouter {

    private RequestRouter() {}

    static void route(ClientConnection connection, Message request) {
        String path = request.target().split("\\?", 2)[0];
        if (path.equals("/api") || path.startsWith("/api/")) {
            connection.markCarriedJob();
            if (request.method().equals("POST")) {
                submitJob(connection, request);
            } else {
                connection.reject(405, "only POST is taken here", request.isKeepAlive());
            }
        } else if (path.equals("/-/ready")) {
            connection.markUseful();
            boolean ready = connection.listener.isReadyToServe();
            connection.answer(
                    ready ? 200 : 503, ready ? "ready\n" : "not ready\n", request.isKeepAlive());
        } else if (path.equals(JobEvent.PATH) && request.method().equals("POST")) {
            handleCallBack(connection, request);
        } else {
            connection.reject(404, "no such page", request.isKeepAlive());
        }
    }

    /**
     * Handles a worker's call-back. The worker takes an answer as permission to shut down, so it is
     * answered only once the process that holds the job has the report.
     */
    private static void handleCallBack(ClientConnection connection, Message request) {
        JobEvent event;
        try {
            event = JobEvent.parse(request.body());
        } catch (IllegalArgumentException e) {
            connection.reject(400, e.getMessage(), request.isKeepAlive());
            return;
        }
        connection.markUseful();
        if (event.deliver(connection.listener.tracker) || !connection.listener.relay.hasPeers()) {
            connection.answer(204, "", request.isKeepAlive());
            return;
        }
        Exchange exchange = connection.awaitAnswer(request.isKeepAlive());
        connection.listener.relay.relay(request.body(), exchange::callBackRelayed);
    }

    private static void submitJob(ClientConnection connection, Message request) {
        ClientListener listener = connection.listener;
        JobSubmission job;
        try {
            job = JobSubmission.parse(request, listener);
        } catch (BadMessageException e) {
            connection.reject(e.status(), e.getMessage(), request.isKeepAlive());
            return;
        }
        listener.relay.receivePending(); // Another process may have begun this job.
        Exchange exchange = connection.awaitAnswer(request.isKeepAlive());
        RequestPayload payload =
                new RequestPayload(
                        request.method(),
                        request.target(),
                        request.header("content-type"),
                        request.header("idempotency-key"),
                        request.body());
        long payloadBytes = payload.heldBytes();
        if (!listener.fitsMemoryLimit(payloadBytes)) {
            exchange.reject(ClientConnection.OVERLOAD_RETRY_MICROS);
            return;
        }
        exchange.reserve(payloadBytes);
        exchange.request =
                new PendingRequest(
                        job.id(),
                        job.jobClass(),
                        job.tenant(),
                        job.key(),
                        job.slots(),
                        job.memory(),
                        listener.timers.nowMicros() + job.deadlineMicros(),
                        payload,
                        exchange);
        exchange.request.setReadDelay(listener.timers.nowMicros() - connection.arrivedMicros());
        if (listener.tracker.submit(exchange.request)) {
            connection.markUseful();
            if (job.onAccepted() != null && connection.isAwaiting(exchange)) {
                // Not for a job that was rejected at once: a later job may have the same id.
                job.onAccepted().accept(job.id());
            }
        } else {
            connection.cancelAwait();
            String reason =
                    listener.tracker.isInFlight(job.id())
                            ? "a job with this id is open"
                            : "a job with this id may have run";
            connection.reject(409, reason, request.isKeepAlive());
        }
    }
}
