package postgrade.provider;

import postgrade.http.Message;

/** One request to a provider and what becomes of it. Exactly one of the three is called, once. */
abstract class Request {

    enum Break { NEVER_WRITTEN, DRAINED, AFTER_LAST_BYTE }

    private final byte[] bytes;
    /** The link that carries it, null while it waits for one and after its end. */
    Link link;
    boolean over;

    Request(byte[] bytes) {
        this.bytes = bytes;
    }

    byte[] bytes() {
        return bytes;
    }

    /** Only new work is kept from a provider that drains; giving up goes on. */
    abstract boolean isNewWork();

    abstract void answered(Message response);

    abstract void broken(Break how);

    /** Its last byte has been given to the system. */
    boolean written() {
        return link != null && link.connection.allSent();
    }
}
