package postgrade.worker;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import postgrade.dispatch.Timers;

/** The connections of a pool that carry nothing: those that rest, and the idle ones. */
final class FreeConnections {
    /**
     * So long an answered connection carries nothing. Guards the next request on it against a
     * second answer that comes late: it would be taken for that one's, and one that tells of a job
     * not run would let it run twice.
     */
    static final long REST_PERIOD_MICROS = 20_000;

    private final Timers timers;
    private final AdaptiveIdleTimeout idleTimeout;
    private final ArrayDeque<WorkerConnection> idle = new ArrayDeque<>();

    /**
     * The one that began first in front. One whose rest is over stays among them until one is
     * taken.
     */
    private final ArrayDeque<WorkerConnection> resting = new ArrayDeque<>();

    FreeConnections(Timers timers, AdaptiveIdleTimeout idleTimeout) {
        this.timers = timers;
        this.idleTimeout = idleTimeout;
    }

    /** The one that became idle last, or null. */
    WorkerConnection takeIdle() {
        long restedIfFreeSince = timers.nowMicros() - REST_PERIOD_MICROS;
        while (!resting.isEmpty() && resting.peek().freeSinceMicros <= restedIfFreeSince) {
            WorkerConnection connection = resting.poll();
            connection.transitionTo(WorkerConnection.State.IDLE);
            idle.add(connection);
        }
        for (WorkerConnection connection = idle.pollLast();
                connection != null;
                connection = idle.pollLast()) {
            connection.timer.cancel();
            // Guards against a connection that its provider has closed since the loop last looked
            // at it, and one that
            // has been idle for too long by what has been learnt since.
            connection.idleBeforeUseMicros = timers.nowMicros() - connection.freeSinceMicros;
            if (connection.idleBeforeUseMicros < idleTimeout.limitMicros(timers.nowMicros())
                    && connection.transport.isStillOpen()) {
                return connection;
            }
            connection.fail();
        }
        return null;
    }

    /**
     * @param as {@code IDLE} or {@code RESTING}
     */
    void add(WorkerConnection connection, WorkerConnection.State state) {
        connection.transitionTo(state);
        connection.freeSinceMicros = timers.nowMicros();
        (state == WorkerConnection.State.IDLE ? idle : resting).add(connection);
        connection.transport.setIdle(true, false);
        // Guards against the provider's own closing of idle connections: what is written then is
        // reset.
        connection.timer =
                timers.at(
                        timers.nowMicros() + idleTimeout.limitMicros(timers.nowMicros()),
                        connection::fail);
    }

    /** One that rests and was removed is among the free ones again, in the order of their rest. */
    void putBack(WorkerConnection connection) {
        List<WorkerConnection> ordered = new ArrayList<>(resting);
        ordered.add(connection);
        ordered.sort(Comparator.comparingLong(candidate -> candidate.freeSinceMicros));
        resting.clear();
        resting.addAll(ordered);
    }

    void remove(WorkerConnection connection) {
        idle.remove(connection);
        resting.remove(connection);
    }

    int restingCount() {
        return resting.size();
    }

    /** When the first of those that rest may carry a request. */
    long nextRestedMicros() {
        return resting.peek().freeSinceMicros + REST_PERIOD_MICROS;
    }

    void closeAll() {
        for (ArrayDeque<WorkerConnection> connections : List.of(idle, resting)) {
            new ArrayList<>(connections).forEach(WorkerConnection::fail);
        }
    }
}
