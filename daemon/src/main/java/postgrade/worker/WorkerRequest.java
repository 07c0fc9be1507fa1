package postgrade.worker;

import postgrade.http.Connection;
import postgrade.http.Message;

/** One request to a provider and what becomes of it. Exactly one of the three is called, once. */
abstract class WorkerRequest {

    static final byte[] EMPTY_BODY = {};

    /**
     * How a request has lost its connection; {@code NO_SOCKET}: none could be begun for want of
     * something of ours; {@code IN_ANSWER}: what came of an answer says nothing certain.
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

    /** The link that carries it, null while it waits for one and after its end. */
    WorkerConnection connection;

    /** The link on which its answer has come, if that is still open; null before. */
    WorkerConnection responseConnection;

    /** The link that is kept for it until it has rested, null where it waits for any. */
    WorkerConnection reservedConnection;

    boolean finished;

    WorkerRequest(byte[] body) {
        this.body = body;
    }

    /**
     * Made as it is written: what it says of the time left must hold then, however long it has
     * waited.
     */
    abstract byte[] head();

    void writeTo(Connection transport) {
        if (body.length == 0) {
            transport.write(head());
        } else {
            transport.write(head(), body);
        }
        body = EMPTY_BODY; // A call may last for seconds after it is written.
    }

    /** It is about to be written on this link, whose counts do not include it yet. */
    void onWriting(WorkerConnection carrier) {}

    /** Only new work is kept from a provider that drains; giving up goes on. */
    abstract boolean isNewWork();

    /** It may not be written any more. */
    boolean isLate(long nowMicros) {
        return false;
    }

    abstract void onResponse(Message response);

    abstract void onFailure(Failure how);

    /** After its answer something more has come, before its connection carried another request. */
    void onContradicted() {}

    /** Its last byte has been given to the system. */
    boolean isFullyWritten() {
        return connection != null && connection.transport.isAllSent();
    }
}
