package postgrade.worker;

import postgrade.dispatch.ConnectionUse;
import postgrade.dispatch.WireRecord;

/** When an attempt came how far on the wire, and on which connection. */
final class WireTimes {

    private long writtenMicros = WireRecord.NEVER;
    private long acceptedMicros = WireRecord.NEVER;
    private long cancelledMicros = WireRecord.NEVER;
    private ConnectionUse connection;

    /** It is about to be written on this link, whose counts do not include it yet. */
    void written(long nowMicros, Link link) {
        writtenMicros = nowMicros;
        connection = new ConnectionUse(nowMicros - link.upMicros, link.idleMicros, link.carried);
    }

    void accepted(long nowMicros) {
        acceptedMicros = nowMicros;
    }

    void cancelled(long nowMicros) {
        cancelledMicros = nowMicros;
    }

    boolean wasWritten() {
        return connection != null;
    }

    long writtenMicros() {
        return writtenMicros;
    }

    long acceptedMicros() {
        return acceptedMicros;
    }

    WireRecord toRecord() {
        return new WireRecord(writtenMicros, acceptedMicros, cancelledMicros, connection);
    }
}
