package postgrade.worker;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import postgrade.dispatch.Timers;

/** The connections of a pool that carry no request: the resting ones and the idle ones. */
final class FreeConnections {
    /**
     * How long a connection carries nothing after a response. Guards the next request against a
     * late second response, which would be taken for its own; if that says that a job did not run,
     * the job could run twice.
     */
    static final long REST_PERIOD_MICROS = 20_000;

    private final Timers timers;
    private final AdaptiveIdleTimeout idleTimeout;
    private final ArrayDeque<WorkerConnection> idle = new ArrayDeque<>();

    /**
     * In the order in which they began to rest. A connection whose rest is over stays here until
     * one is taken.
     */
    private final ArrayDeque<WorkerConnection> resting = new ArrayDeque<>();

    FreeConnections(Timers timers, AdaptiveIdleTimeout idleTimeout) {
        this.timers = timers;
        this.idleTimeout = idleTimeout;
    }

    /** Returns the connection that became idle last, or null. */
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
            // Guards against a connection that the worker has closed since the loop last read from
            // it, and one that has been idle for longer than the limit learnt since.
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
     * @param state {@code IDLE} or {@code RESTING}
     */
    void add(WorkerConnection connection, WorkerConnection.State state) {
        connection.transitionTo(state);
        connection.freeSinceMicros = timers.nowMicros();
        (state == WorkerConnection.State.IDLE ? idle : resting).add(connection);
        startIdleTimeout(connection);
    }

    private void startIdleTimeout(WorkerConnection connection) {
        connection.transport.setIdle(true, false);
        // Guards against the worker closing idle connections: what is written then is reset.
        connection.timer =
                timers.at(
                        timers.nowMicros() + idleTimeout.limitMicros(timers.nowMicros()),
                        connection::fail);
    }

    /** Takes out a resting connection, which stays open for the request that it is to carry. */
    void reserve(WorkerConnection connection) {
        remove(connection);
        connection.timer.cancel();
        connection.transport.setIdle(false, false);
    }

    /** Adds a resting connection that was reserved, in the order of the rest. */
    void putBack(WorkerConnection connection) {
        List<WorkerConnection> ordered = new ArrayList<>(resting);
        ordered.add(connection);
        ordered.sort(Comparator.comparingLong(candidate -> candidate.freeSinceMicros));
        resting.clear();
        resting.addAll(ordered);
        startIdleTimeout(connection);
    }

    void remove(WorkerConnection connection) {
        idle.remove(connection);
        resting.remove(connection);
    }

    int restingCount() {
        return resting.size();
    }

    /** When the first resting connection may carry a request. */
    long nextRestedMicros() {
        return resting.peek().freeSinceMicros + REST_PERIOD_MICROS;
    }

    void closeAll() {
        for (ArrayDeque<WorkerConnection> connections : List.of(idle, resting)) {
            new ArrayList<>(connections).forEach(WorkerConnection::fail);
        }
    }
}
