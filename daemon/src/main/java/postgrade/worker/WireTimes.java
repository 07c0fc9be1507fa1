package postgrade.worker;

import postgrade.dispatch.ConnectionUse;
import postgrade.dispatch.WireRecord;

/** Times of an attempt's steps on the wire, and the connection it carrier. */
final class WireTimes {

    private long writtenMicros = WireRecord.NEVER;
    private long acceptedMicros = WireRecord.NEVER;
    private long cancelledMicros = WireRecord.NEVER;
    private long outputEndedMicros = WireRecord.NEVER;
    private long workerEndedMicros = WireRecord.NEVER;
    private ConnectionUse connection;

    /**
     * The request is about to be written on this connection, whose counts do not include it yet.
     */
    void recordWritten(long nowMicros, WorkerConnection carrier) {
        writtenMicros = nowMicros;
        connection =
                new ConnectionUse(
                        nowMicros - carrier.connectedAtMicros,
                        carrier.idleBeforeUseMicros,
                        carrier.requestsCarried);
    }

    void recordAccepted(long nowMicros) {
        acceptedMicros = nowMicros;
    }

    void recordCancelled(long nowMicros) {
        cancelledMicros = nowMicros;
    }

    void recordOutputEnded(long nowMicros) {
        outputEndedMicros = nowMicros;
    }

    void recordWorkerEnded(long nowMicros) {
        workerEndedMicros = nowMicros;
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
        return new WireRecord(
                writtenMicros,
                acceptedMicros,
                cancelledMicros,
                outputEndedMicros,
                workerEndedMicros,
                connection);
    }
}
