package postgrade.worker;

import postgrade.http.Connection;
import postgrade.http.Message;

/**
 * One request to a worker and its result. Exactly one of response, failure and cancellation ends
 * it, once.
 */
abstract class WorkerRequest {

    static final byte[] EMPTY_BODY = {};

    /**
     * How a request lost its connection. {@code NO_SOCKET}: no connection could be opened for lack
     * of local resources. {@code IN_RESPONSE}: part of a response came, which proves nothing.
     */
    enum Failure {
        NO_SOCKET,
        NEVER_WRITTEN,
        DRAINED,
        TOO_LATE,
        AFTER_LAST_BYTE,
        IN_RESPONSE
    }

    private byte[] body;

    /** The connection that carries it; null while it waits for one and after its end. */
    WorkerConnection connection;

    /** The connection on which its response came, if still open; null before. */
    WorkerConnection responseConnection;

    /** The connection reserved for it until that has rested; null if it waits for any. */
    WorkerConnection reservedConnection;

    boolean finished;

    WorkerRequest(byte[] body) {
        this.body = body;
    }

    /**
     * Built when the request is written, however long it has waited: the remaining time it states
     * must be right at that moment.
     */
    abstract byte[] head();

    /** Returns the body, which is empty once the request has been written. */
    byte[] body() {
        return body;
    }

    void writeTo(Connection transport) {
        if (body.length == 0) {
            transport.write(head());
        } else {
            transport.write(head(), body);
        }
        body = EMPTY_BODY; // Frees the body: an attempt may last for seconds after it is written.
    }

    /** Called right before it is written on this connection, whose counts do not include it yet. */
    void onWriting(WorkerConnection carrier) {}

    /** Whether it is new work, which a draining worker is not sent; cancellations continue. */
    abstract boolean isNewWork();

    /** Whether it must not be written any more. */
    boolean isLate(long nowMicros) {
        return false;
    }

    abstract void onResponse(Message response);

    abstract void onFailure(Failure failure);

    /** After its response more bytes have come, before its connection carried another request. */
    void onContradicted() {}

    /**
     * What has come as its response is malformed and may belong to another request; its connection
     * ends, and {@link #onFailure} follows once the worker has ended its side.
     */
    void onMalformedResponse() {}

    /** Our side of its connection has ended; it may still be on its way to the worker. */
    void onOutputEnded() {}

    /**
     * After its response: what was written on its connection has arrived or never will, because the
     * worker has ended its side or the last byte was never written.
     */
    void onDeliverySettled() {}

    /**
     * Whether its response may belong to another exchange, so that it may still be on its way to
     * the worker. Closing its connection then would hide when it arrives.
     */
    boolean isResponseAmbiguous() {
        return false;
    }

    /** The time from which on it does not matter any more whether it arrives. */
    long irrelevantFromMicros() {
        return 0;
    }

    /** Whether its last byte has been handed to the operating system. */
    boolean isFullyWritten() {
        return connection != null && connection.transport.isAllSent();
    }
}
