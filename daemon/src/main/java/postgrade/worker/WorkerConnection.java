package postgrade.worker;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import postgrade.dispatch.Timers;
import postgrade.http.BadMessageException;
import postgrade.http.Connection;
import postgrade.http.Message;
import postgrade.http.MessageParser;

/** One connection to a provider. It carries one request at a time and never sends one again. */
final class WorkerConnection implements Connection.Owner {

    /** What follows what stands in {@link #NEXT} alone. */
    enum State {
        CONNECTING,
        /** Has come up, and takes what waits at the end of the turn. */
        FRESH,
        /** May carry a request. */
        IDLE,
        CARRYING,
        /**
         * Has been answered a moment ago: what comes now is a second answer, and ends it as it
         * would an idle one.
         */
        RESTING,
        CLOSED
    }

    static final Map<State, Set<State>> NEXT =
            Map.of(
                    State.CONNECTING, EnumSet.of(State.FRESH, State.CLOSED),
                    State.FRESH, EnumSet.of(State.IDLE, State.CARRYING, State.CLOSED),
                    State.IDLE, EnumSet.of(State.CARRYING, State.CLOSED),
                    State.CARRYING, EnumSet.of(State.RESTING, State.CLOSED),
                    State.RESTING, EnumSet.of(State.IDLE, State.CLOSED),
                    State.CLOSED, EnumSet.noneOf(State.class));

    final ConnectionPool pool;
    final InetSocketAddress address;
    final MessageParser parser = MessageParser.forResponses();
    Connection transport;
    WorkerRequest request;

    /** The last one that was answered here, until the next is carried. */
    private WorkerRequest lastAnswered;

    /** What it is to carry next, once it has rested; null unless it is kept for one. */
    WorkerRequest reservedFor;

    Timers.Timer timer;
    private State state = State.CONNECTING;
    private boolean malformedResponse;

    /** When it was last left idle, and how long it had been so when it was given its request. */
    long freeSinceMicros;

    long idleBeforeUseMicros;

    /** When it came up, and how many requests it has been given. */
    long connectedAtMicros;

    int requestsCarried;

    WorkerConnection(ConnectionPool pool, InetSocketAddress address) {
        this.pool = pool;
        this.address = address;
    }

    State state() {
        return state;
    }

    void transitionTo(State next) {
        if (!NEXT.get(state).contains(next)) {
            throw new IllegalStateException(state + " to " + next);
        }
        state = next;
    }

    void carry(WorkerRequest next) {
        transitionTo(State.CARRYING);
        request = next;
        lastAnswered = null;
        reservedFor = null;
        next.reservedConnection = null;
        next.connection = this;
        next.onWriting(this);
        requestsCarried++;
        transport.setIdle(false, false);
        next.writeTo(transport);
    }

    @Override
    public void connected(Connection c) {
        pool.onConnected(this);
    }

    @Override
    public void received(Connection c, ByteBuffer bytes) throws BadMessageException {
        pool.onBytesReceived();
        if (request == null) {
            onUnsolicitedBytes();
            return;
        }
        Message response = parser.parse(bytes);
        if (response != null) {
            completeRequest(response, false, bytes.hasRemaining());
        }
    }

    /**
     * Guards the next request: bytes that nobody asked for would be taken for its response. The
     * last one may have had another's.
     */
    private void onUnsolicitedBytes() {
        WorkerRequest lastCompleted = lastAnswered;
        fail();
        if (lastCompleted != null) {
            lastCompleted.onContradicted();
        }
    }

    /**
     * @param ends whether the connection ends with it
     * @param more whether bytes follow that nobody asked for
     */
    private void completeRequest(Message response, boolean connectionEnded, boolean trailingBytes) {
        WorkerRequest completed = request;
        request = null;
        lastAnswered = completed;
        if (connectionEnded || trailingBytes || !response.isKeepAlive() || !transport.isAllSent()) {
            close();
        } else {
            pool.onResponse(this);
        }
        completed.connection = null;
        completed.finished = true;
        completed.responseConnection = state == State.RESTING ? this : null;
        completed.onResponse(response);
        if (trailingBytes) {
            completed.onContradicted();
        }
    }

    @Override
    public void inputEnded(Connection c) {
        Message response = parser.endOfInput();
        if (response != null && request != null) {
            completeRequest(response, true, false);
        }
    }

    @Override
    public void badMessage(Connection c, BadMessageException e) {
        malformedResponse = true;
        fail();
    }

    @Override
    public void closed(Connection c) {
        fail();
    }

    /** Closes the connection; what it carried is told how far it had come. */
    void fail() {
        if (state == State.CLOSED) {
            return;
        }
        boolean fullyWritten = transport.isAllSent();
        close();
        WorkerRequest reserved = reservedFor;
        reservedFor = null;
        if (reserved != null) {
            reserved.reservedConnection = null;
            reserved.finished = true;
            reserved.onFailure(WorkerRequest.Failure.NEVER_WRITTEN);
        }
        WorkerRequest lost = request;
        request = null;
        if (lost != null) {
            pool.recordBreakAfterIdle(idleBeforeUseMicros);
            lost.connection = null;
            lost.finished = true;
            lost.onFailure(
                    !fullyWritten
                            ? WorkerRequest.Failure.NEVER_WRITTEN
                            : responseStarted()
                                    ? WorkerRequest.Failure.IN_RESPONSE
                                    : WorkerRequest.Failure.AFTER_LAST_BYTE);
        }
    }

    /** Some of an answer to what it carries has come, or something that is none. */
    boolean responseStarted() {
        return malformedResponse || !parser.isAtMessageStart();
    }

    /** Closes the connection under a request that has been given up; the request hears nothing. */
    void abort() {
        request.finished = true;
        request.connection = null;
        request = null;
        close();
    }

    private void close() {
        State previous = state;
        transitionTo(State.CLOSED);
        transport.close();
        pool.onClosed(this, previous);
    }
}
