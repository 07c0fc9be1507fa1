package postgrade.worker;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import postgrade.dispatch.Timers;
import postgrade.http.Connection;
import postgrade.http.NoSocketException;
import postgrade.http.Reactor;

/**
 * The connections to one worker. A request uses an idle connection; otherwise it waits for a
 * resting one, or for the one opened for it.
 */
final class ConnectionPool {
    /**
     * How long a request waits for one of the connections in use before another one is opened
     * beyond the connect limit.
     */
    static final long MAX_CONNECT_DELAY_MICROS = 40_000;

    private final Reactor reactor;
    private final Timers timers;
    private final LongSupplier connectTimeoutMicros;
    private final AdaptiveIdleTimeout idleTimeout;
    final String workerId;
    InetSocketAddress address;
    boolean ready;

    /**
     * Attempts, including those being cancelled; they keep the pool even if the worker list has
     * dropped the worker.
     */
    int activeAttempts;

    private final FreeConnections free;
    private final WaitingRequests waiting = new WaitingRequests();
    private int connecting;
    private int fresh;
    private int established;

    /** Fires when the first resting connection has rested; null unless a request waits for one. */
    private Timers.Timer restTimer;

    /**
     * Connections that will be opened beyond the connect limit after the maximum delay, if requests
     * still wait for them.
     */
    private int delayedConnects;

    private final Supplier<ConnectLimiter> connectLimiter;

    ConnectionPool(
            String workerId,
            Reactor reactor,
            Timers timers,
            LongSupplier connectTimeoutMicros,
            AdaptiveIdleTimeout idleTimeout,
            Supplier<ConnectLimiter> connectLimiter) {
        this.connectLimiter = connectLimiter;
        this.workerId = workerId;
        this.reactor = reactor;
        this.timers = timers;
        this.connectTimeoutMicros = connectTimeoutMicros;
        this.idleTimeout = idleTimeout;
        free = new FreeConnections(timers, idleTimeout);
    }

    String hostHeader() {
        return address.getHostString() + ":" + address.getPort();
    }

    void send(WorkerRequest request) {
        WorkerConnection connection = waiting.isEmpty() ? free.takeIdle() : null;
        if (connection != null) {
            connection.carry(request);
            return;
        }
        waiting.add(request);
        if (free.restingCount() > 0 && !needsConnection()) {
            scheduleRested();
            return;
        }
        ConnectLimiter limiter = connectLimiter.get();
        boolean mandatory = !hasConnection();
        if (limiter == null || limiter.tryOpen(workerId, mandatory) || mandatory) {
            try {
                openConnection();
            } catch (IOException e) {
                waiting.fail(request, failureFor(e));
            }
        } else {
            delayedConnects++;
            timers.at(
                    timers.nowMicros() + MAX_CONNECT_DELAY_MICROS,
                    () -> {
                        delayedConnects--;
                        // The connection that the request waits for may be stuck.
                        openReplacement();
                    });
        }
    }

    /**
     * Sends the request on this connection and no other, once it has rested: a worker that answers
     * in order has then answered everything the connection carried before.
     */
    void sendAfterRest(WorkerConnection connection, WorkerRequest request) {
        free.reserve(connection);
        connection.reservedFor = request;
        request.reservedConnection = connection;
        if (needsConnection()) {
            // Requests that waited for this connection need another.
            timers.at(timers.nowMicros(), this::openReplacement);
        }
        timers.at(
                connection.freeSinceMicros + FreeConnections.REST_PERIOD_MICROS,
                () -> {
                    if (connection.reservedFor == request
                            && connection.state() == WorkerConnection.State.RESTING) {
                        connection.transitionTo(WorkerConnection.State.IDLE);
                        connection.carry(request);
                    }
                });
    }

    /** Whether a connection is established, in use or not, or being opened. */
    boolean hasConnection() {
        return established + connecting > 0;
    }

    /** Whether more requests wait than connections will become available for them. */
    private boolean needsConnection() {
        return waiting.size() > connecting + fresh + delayedConnects + free.restingCount();
    }

    private static WorkerRequest.Failure failureFor(IOException e) {
        return e instanceof NoSocketException
                ? WorkerRequest.Failure.NO_SOCKET
                : WorkerRequest.Failure.NEVER_WRITTEN;
    }

    private void openConnection() throws IOException {
        WorkerConnection connection = new WorkerConnection(this, address);
        connection.transport = Connection.open(reactor, address, connection, false);
        connecting++;
        connection.timer =
                timers.at(timers.nowMicros() + connectTimeoutMicros.getAsLong(), connection::fail);
    }

    /** Opens another connection if the one that a request waited for is gone. */
    private void openReplacement() {
        if (needsConnection()) {
            ConnectLimiter limiter = connectLimiter.get();
            if (limiter != null) {
                limiter.tryOpen(workerId, true);
            }
            try {
                openConnection();
            } catch (IOException e) {
                connectFailed(failureFor(e));
            }
        }
    }

    /**
     * A connect has failed: the request that has waited longest has lost its connection, unless
     * another one will become available.
     */
    private void connectFailed(WorkerRequest.Failure failure) {
        if (needsConnection()) {
            waiting.fail(waiting.first(), failure);
        }
    }

    /** Gives a newly established connection to the next waiting request. */
    private void assignFresh(WorkerConnection connection) {
        if (!hasCurrentAddress(connection)) {
            connection.fail();
            return;
        }
        fresh--;
        if (waiting.firstWritable(timers.nowMicros()) == null) {
            free.add(connection, WorkerConnection.State.IDLE);
        } else {
            connection.carry(waiting.takeFirst());
        }
    }

    /** The request of a connection has been answered. */
    void onResponse(WorkerConnection connection) {
        if (hasCurrentAddress(connection)) {
            free.add(connection, WorkerConnection.State.RESTING);
            scheduleRested();
        } else {
            connection.retire();
            openReplacement();
        }
    }

    /** Closes a connection that waits for its worker's end, if that has not come by this time. */
    Timers.Timer closeAt(long micros, WorkerConnection connection) {
        return timers.at(micros, connection::giveUpWaiting);
    }

    /**
     * Guards against a former process under this id: the worker list may have named another address
     * meanwhile.
     */
    private boolean hasCurrentAddress(WorkerConnection connection) {
        return connection.address.equals(address);
    }

    private void scheduleRested() {
        if (restTimer == null && !waiting.isEmpty() && free.restingCount() > 0) {
            // At the end of the turn: see onConnected.
            restTimer =
                    timers.at(
                            free.nextRestedMicros(),
                            () -> timers.at(timers.nowMicros(), this::assignRested));
        }
    }

    /** Gives the connections that have rested to the waiting requests. */
    private void assignRested() {
        restTimer = null;
        while (waiting.firstWritable(timers.nowMicros()) != null) {
            WorkerConnection connection = free.takeIdle();
            if (connection == null) {
                break;
            }
            connection.carry(waiting.takeFirst());
        }
        scheduleRested();
    }

    /**
     * Guards against a request whose client has disconnected or whose deadline has passed, which
     * the loop may read only later in this turn: nothing is written before all channels have been
     * served and the timers that are due have run.
     */
    void onConnected(WorkerConnection connection) {
        connection.transitionTo(WorkerConnection.State.FRESH);
        connection.connectedAtMicros = timers.nowMicros();
        connection.timer.cancel();
        connecting--;
        established++;
        fresh++;
        timers.at(
                timers.nowMicros(),
                () -> {
                    if (connection.state() == WorkerConnection.State.FRESH) {
                        assignFresh(connection);
                    }
                });
    }

    /** A connection is out of use; what waited for it gets another one or fails. */
    void onClosed(WorkerConnection connection, WorkerConnection.State previous) {
        connection.timer.cancel();
        established -= previous == WorkerConnection.State.CONNECTING ? 0 : 1;
        switch (previous) {
            case CONNECTING -> {
                connecting--;
                connectFailed(WorkerRequest.Failure.NEVER_WRITTEN);
            }
            case FRESH -> {
                fresh--;
                if (hasCurrentAddress(connection)) {
                    connectFailed(WorkerRequest.Failure.NEVER_WRITTEN);
                } else {
                    openReplacement();
                }
            }
            case IDLE, RESTING -> {
                free.remove(connection);
                if (needsConnection()) {
                    // Not at once: the worker list may be about to name another address, or the
                    // socket may be needed for another connection.
                    timers.at(timers.nowMicros(), this::openReplacement);
                }
            }
            default -> {}
        }
    }

    /** A connection broke under a request that the worker had not answered. */
    void recordBreakAfterIdle(long idleMicros) {
        idleTimeout.recordBreak(timers.nowMicros(), idleMicros);
    }

    /** The request is not written any more; a connection reserved for it may carry others. */
    void withdraw(WorkerRequest request) {
        waiting.withdraw(request);
        WorkerConnection reserved = request.reservedConnection;
        if (reserved != null) {
            request.reservedConnection = null;
            reserved.reservedFor = null;
            free.putBack(reserved);
            scheduleRested();
        }
    }

    /**
     * Guards the drain rule: new work that still waits for a connection must not be sent once the
     * connection is established.
     */
    void drain() {
        ready = false;
        waiting.failNewWork();
    }

    void closeIdle() {
        free.closeAll();
    }

    boolean isUnused() {
        return activeAttempts == 0 && waiting.isEmpty();
    }
}
