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

/** One connection to a worker. It carries one request at a time and never resends a request. */
final class WorkerConnection implements Connection.Owner {

    /** {@link #NEXT} alone defines the allowed transitions. */
    enum State {
        CONNECTING,
        /** Just established; takes a waiting request at the end of the turn. */
        FRESH,
        /** May carry a request. */
        IDLE,
        CARRYING,
        /**
         * Has been answered a moment ago: bytes that arrive now are a second response and close the
         * connection, as they would an idle one.
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

    /** The last request that was answered here, until the next one is sent. */
    private WorkerRequest lastAnswered;

    /** The request it is to carry next, once it has rested; null unless it is reserved for one. */
    WorkerRequest reservedFor;

    Timers.Timer timer;
    private State state = State.CONNECTING;
    private boolean malformedResponse;

    /** When it last became free, and how long it had been free when it was given its request. */
    long freeSinceMicros;

    long idleBeforeUseMicros;

    /** When it was established, and how many requests it has carried. */
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
     * Guards the next request: unsolicited bytes would be taken for its response. The last response
     * may have belonged to another request.
     */
    private void onUnsolicitedBytes() {
        WorkerRequest lastCompleted = lastAnswered;
        fail();
        if (lastCompleted != null) {
            lastCompleted.onContradicted();
        }
    }

    /**
     * @param connectionEnded whether the connection ends with this response
     * @param trailingBytes whether unsolicited bytes follow it
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

    /** Closes the connection and notifies its request of how far it had come. */
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

    /**
     * Whether part of a response to the current request has come, or bytes that are not a valid
     * response.
     */
    boolean responseStarted() {
        return malformedResponse || !parser.isAtMessageStart();
    }

    /**
     * Closes the connection under a request that has been cancelled, without notifying the request.
     */
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
