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
        /**
         * Our side has ended under a request that may still be on its way; what was written
         * arrives, if at all, before the worker ends its own side. Carries nothing more.
         */
        ENDING,
        CLOSED
    }

    static final Map<State, Set<State>> NEXT =
            Map.of(
                    State.CONNECTING, EnumSet.of(State.FRESH, State.CLOSED),
                    State.FRESH, EnumSet.of(State.IDLE, State.CARRYING, State.CLOSED),
                    State.IDLE, EnumSet.of(State.CARRYING, State.CLOSED),
                    State.CARRYING, EnumSet.of(State.RESTING, State.ENDING, State.CLOSED),
                    State.RESTING, EnumSet.of(State.IDLE, State.ENDING, State.CLOSED),
                    State.ENDING, EnumSet.of(State.CLOSED),
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
        retire();
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
        completed.connection = null;
        completed.finished = true;
        if (connectionEnded || !transport.isAllSent()) {
            close();
            completed.onDeliverySettled();
        } else if (trailingBytes || !response.isKeepAlive()) {
            retire();
        } else {
            pool.onResponse(this);
        }
        completed.responseConnection = state == State.RESTING ? this : null;
        completed.onResponse(response);
        if (trailingBytes) {
            completed.onContradicted();
        }
    }

    @Override
    public void inputEnded(Connection c) {
        if (state == State.ENDING) {
            return; // The rest of a response begun before has been discarded.
        }
        Message response = parser.endOfInput();
        if (response != null && request != null) {
            completeRequest(response, true, false);
        }
    }

    @Override
    public void badMessage(Connection c, BadMessageException e) {
        malformedResponse = true;
        if (request != null && transport.isAllSent() && request.isResponseAmbiguous()) {
            endOutput();
            request.onMalformedResponse();
        } else {
            fail();
        }
    }

    /** The worker has ended its side, or the connection has broken. */
    @Override
    public void closed(Connection c) {
        WorkerRequest answered = lastAnswered;
        fail();
        if (answered != null) {
            answered.onDeliverySettled();
        }
    }

    @Override
    public long heldBytes() {
        return parser.heldBytes();
    }

    /** Our own end, which settles nothing. */
    @Override
    public void evicted(Connection c) {
        fail();
    }

    /**
     * Takes a connection that carries nothing out of use. Only our side ends if the last request
     * may still be on its way: closing both would hide when the worker has read all of it.
     */
    void retire() {
        if (lastAnswered == null || !lastAnswered.isResponseAmbiguous()) {
            fail();
            return;
        }
        endOutput();
        failReserved();
    }

    /**
     * Ends our side and waits for the worker to end its own, after which nothing written here
     * arrives any more. What comes meanwhile is discarded. A request that is carried stays with the
     * connection and fails with the worker's end.
     */
    void endOutput() {
        if (state == State.ENDING) {
            return;
        }
        WorkerRequest undelivered = request != null ? request : lastAnswered;
        State previous = state;
        transitionTo(State.ENDING);
        pool.onClosed(this, previous);
        timer = pool.closeAt(undelivered.irrelevantFromMicros(), this);
        transport.closeWhenSent();
        undelivered.onOutputEnded();
    }

    /** Closes the connection whose worker has not ended its side in time, without notice. */
    void giveUpWaiting() {
        lastAnswered = null;
        if (request != null) {
            abort();
        } else {
            close();
        }
    }

    /** Closes the connection and notifies its request of how far it had come. */
    void fail() {
        if (state == State.CLOSED) {
            return;
        }
        boolean fullyWritten = transport.isAllSent();
        boolean brokenByWorker = state != State.ENDING;
        close();
        failReserved();
        WorkerRequest lost = request;
        request = null;
        if (lost != null) {
            if (brokenByWorker) {
                pool.recordBreakAfterIdle(idleBeforeUseMicros);
            }
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

    private void failReserved() {
        WorkerRequest reserved = reservedFor;
        reservedFor = null;
        if (reserved != null) {
            reserved.reservedConnection = null;
            reserved.finished = true;
            reserved.onFailure(WorkerRequest.Failure.NEVER_WRITTEN);
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
        if (previous == State.ENDING) {
            timer.cancel(); // The pool has not counted it since our side ended.
        } else {
            pool.onClosed(this, previous);
        }
    }
}
