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
 * The connections to one worker. A request takes an idle one, else waits for one that rests or for
 * the one it has opened.
 */
final class ConnectionPool {
    /**
     * A request waits so long for one of the connections in use, before one more is opened against
     * the pace.
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
     * Calls, and requests that give up, which keep the pool although the list has dropped the
     * provider.
     */
    int activeAttempts;

    private final FreeConnections free;
    private final WaitingRequests waiting = new WaitingRequests();
    private int connecting;
    private int fresh;
    private int established;
    private long lastReceivedMicros = Long.MIN_VALUE;

    /** Runs once the first of those that rest has rested; null unless something waits for it. */
    private Timers.Timer restTimer;

    /**
     * Connections that are opened against the pace once patience ends, if something still waits for
     * them then.
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
                        openReplacement(); // Guards the request's time: what it waits for may be
                                           // stuck.
                    });
        }
    }

    /**
     * Sends the request on this link and no other, once that has rested: whoever answers in order
     * has then answered all that the link has carried before.
     */
    void sendAfterRest(WorkerConnection connection, WorkerRequest request) {
        free.remove(connection);
        connection.reservedFor = request;
        request.reservedConnection = connection;
        if (needsConnection()) {
            timers.at(
                    timers.nowMicros(),
                    this::openReplacement); // What has waited for it needs another.
        }
        timers.at(
                connection.freeSinceMicros + FreeConnections.REST_PERIOD_MICROS,
                () -> {
                    if (connection.reservedFor == request
                            && connection.state() == WorkerConnection.State.RESTING) {
                        connection.transitionTo(WorkerConnection.State.IDLE);
                        connection.timer.cancel();
                        connection.carry(request);
                    }
                });
    }

    /** A connection is up, in use or not, or on its way. */
    boolean hasConnection() {
        return established + connecting > 0;
    }

    /** More requests wait than connections will come for them. */
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

    /** One more for what has waited, if what it has waited for is gone. */
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
     * A connect failed: the request that has waited longest has lost its connection, unless another
     * is due.
     */
    private void connectFailed(WorkerRequest.Failure failure) {
        if (needsConnection()) {
            waiting.fail(waiting.first(), failure);
        }
    }

    /** A link that has come up takes what waits. */
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

    /** A link's request has been answered. */
    void onResponse(WorkerConnection connection) {
        if (hasCurrentAddress(connection)) {
            free.add(connection, WorkerConnection.State.RESTING);
            scheduleRested();
        } else {
            connection.fail();
            openReplacement();
        }
    }

    /**
     * Guards against a former process under this id: the list may have named another address
     * meanwhile.
     */
    private boolean hasCurrentAddress(WorkerConnection connection) {
        return connection.address.equals(address);
    }

    private void scheduleRested() {
        if (restTimer == null && !waiting.isEmpty() && free.restingCount() > 0) {
            // At the end of the turn: see cameUp.
            restTimer =
                    timers.at(
                            free.nextRestedMicros(),
                            () -> timers.at(timers.nowMicros(), this::assignRested));
        }
    }

    /** Those that have rested take what waits. */
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
     * Guards against a request whose consumer has left or whose time is over, of which we shall
     * read later in this turn: nothing is written before all channels have been served and the
     * timers that are due have run.
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

    /** A link has closed; what waits for it gets another, or has waited in vain. */
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
                    // Not at once: the list may be about to name another address, or its place be
                    // wanted for another.
                    timers.at(timers.nowMicros(), this::openReplacement);
                }
            }
            default -> {}
        }
    }

    /** The worker has said something, on any connection. */
    void onBytesReceived() {
        lastReceivedMicros = timers.nowMicros();
    }

    /** Whether the worker has said anything in that turn or later. */
    boolean hasReceivedSince(long micros) {
        return lastReceivedMicros >= micros;
    }

    /** A link has broken under a request that the provider has not answered. */
    void recordBreakAfterIdle(long idleMicros) {
        idleTimeout.recordBreak(timers.nowMicros(), idleMicros);
    }

    /** The request is not written any more; a link that was kept for it may carry others. */
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
     * Guards the drain rule: new work that still waits for a connection must not leave once it is
     * up.
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
