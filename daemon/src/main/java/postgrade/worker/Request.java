package postgrade.worker;

import postgrade.http.Connection;
import postgrade.http.Message;

/** One request to a provider and what becomes of it. Exactly one of the three is called, once. */
abstract class Request {

    static final byte[] NONE = {};

    /**
     * How a request has lost its connection; {@code NO_SOCKET}: none could be begun for want of
     * something of ours; {@code IN_ANSWER}: what came of an answer says nothing certain.
     */
    enum Break {
        NO_SOCKET,
        NEVER_WRITTEN,
        DRAINED,
        TOO_LATE,
        AFTER_LAST_BYTE,
        IN_ANSWER
    }

    private byte[] body;

    /** The link that carries it, null while it waits for one and after its end. */
    Link link;

    /** The link on which its answer has come, if that is still open; null before. */
    Link answeredOn;

    /** The link that is kept for it until it has rested, null where it waits for any. */
    Link reservedLink;

    boolean over;

    Request(byte[] body) {
        this.body = body;
    }

    /**
     * Made as it is written: what it says of the time left must hold then, however long it has
     * waited.
     */
    abstract byte[] head();

    void writeTo(Connection c) {
        if (body.length == 0) {
            c.write(head());
        } else {
            c.write(head(), body);
        }
        body = NONE; // A call may last for seconds after it is written.
    }

    /** It is about to be written on this link, whose counts do not include it yet. */
    void carriedBy(Link carrier) {}

    /** Only new work is kept from a provider that drains; giving up goes on. */
    abstract boolean isNewWork();

    /** It may not be written any more. */
    boolean isLate(long nowMicros) {
        return false;
    }

    abstract void answered(Message response);

    abstract void broken(Break how);

    /** After its answer something more has come, before its connection carried another request. */
    void contradicted() {}

    /** Its last byte has been given to the system. */
    boolean written() {
        return link != null && link.connection.isAllSent();
    }
}
