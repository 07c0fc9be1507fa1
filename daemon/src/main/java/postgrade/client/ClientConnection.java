package postgrade.client;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import postgrade.http.ArrivalTimes;
import postgrade.http.BadMessageException;
import postgrade.http.Connection;
import postgrade.http.Message;
import postgrade.http.MessageParser;
import postgrade.http.MessageWriter;

/**
 * An accepted connection, from a client or from a worker that sends call-backs. It handles one
 * request at a time.
 */
final class ClientConnection implements Connection.Owner {

    private static final byte[] NO_BODY = {};

    /**
     * Bodies up to this length are accepted regardless of how much memory is held. Call-backs fit
     * into this limit.
     */
    static final int SMALL_BODY_BYTES = 4 << 10;

    static final long OVERLOAD_RETRY_MICROS = 500_000;

    /** Bounds the memory for answers to a peer that keeps sending requests and does not read. */
    private static final long MAX_UNSENT_BYTES = 256 << 10;

    /**
     * The most requests handled of one connection before the others are served. Limits the time
     * that a peer takes from them by sending many small requests.
     */
    private static final int MAX_REQUESTS_PER_TURN = 16;

    final ClientListener listener;
    private final Connection connection;
    private final ConnectionTimeouts timeouts;
    private ConnectionState state = ConnectionState.READING;
    private MessageParser parser = MessageParser.forRequests();

    private final PipelinedInput pipelined = new PipelinedInput();

    /** The request that awaits its answer, or null if no answer is due. */
    private Exchange exchange;

    private boolean carriedJob;

    /** Whether a request has been rejected since the last sweep. */
    private boolean rejectedSinceSweep;

    /** Whether the rest of the input is due to be handled in the next turn. */
    private boolean nextTurnScheduled;

    /** Whether input behind the request that awaits its answer has been dropped. */
    private boolean discardsInput;

    private final ArrivalTimes arrivalTimes;

    /** The earliest time at which the bytes being parsed can have arrived. */
    private long arrivedMicros;

    /**
     * Wraps a connection that has just been accepted.
     *
     * @param sinceMicros the earliest time at which it can have entered the backlog
     */
    ClientConnection(ClientListener listener, SocketChannel channel, long sinceMicros)
            throws IOException {
        this.listener = listener;
        arrivalTimes = new ArrivalTimes(sinceMicros, listener.timers.nowMicros());
        timeouts = new ConnectionTimeouts(listener.timers.nowMicros());
        connection = Connection.accepted(listener.reactor, channel, this);
    }

    private void transitionTo(ConnectionState nextState) {
        state = state.transitionTo(nextState);
    }

    @Override
    public void received(Connection source, ByteBuffer bytes) throws BadMessageException {
        connection.setIdle(false, false);
        recordArrival(bytes);
        timeouts.bytesReceived(
                listener.timers.nowMicros(), !state.awaitsAnswer() && parser.isAtMessageStart());
        if (discardsInput) {
            return;
        }
        ByteBuffer input = pipelined.append(bytes);
        if (state.awaitsAnswer() && !MessageParser.mayBeRequest(input)) {
            throw new BadMessageException(400, "more bytes than the request has");
        }
        parseRequests(input);
        if (!listener.fitsMemoryLimit(parser.bodyBytesReceived())) {
            rejectIncompleteRequest();
        }
        updateReadingPaused();
    }

    /**
     * Limits the loop's time for a peer that sends the same invalid request again as soon as it is
     * rejected: it is read again at the next sweep only. What one that sends many valid requests
     * has sent is handled first. A client that awaits a job's answer is always read, as its
     * disconnect must be seen at once.
     */
    private void updateReadingPaused() {
        setReadingPaused(
                state == ConnectionState.READING && (rejectedSinceSweep || !pipelined.isEmpty()));
    }

    private void scheduleNextTurn() {
        boolean hasRest = state == ConnectionState.READING && !pipelined.isEmpty();
        if (hasRest && !rejectedSinceSweep && !nextTurnScheduled) {
            nextTurnScheduled = true;
            listener.timers.at(listener.timers.nowMicros() + 1, this::handleNextTurn);
        }
    }

    private void handleNextTurn() {
        nextTurnScheduled = false;
        if (!rejectedSinceSweep) {
            handlePipelined();
        }
    }

    /** Handles input that was left by an earlier turn. */
    private void handlePipelined() {
        if (state == ConnectionState.READING || state == ConnectionState.TAKING) {
            try {
                parseRequests(pipelined.bytes());
            } catch (BadMessageException e) {
                badMessage(connection, e);
            }
            updateReadingPaused();
        }
    }

    /**
     * Records the arrival time. Buffered input keeps its own arrival time even if more has arrived
     * behind it.
     */
    private void recordArrival(ByteBuffer bytes) {
        long sinceMicros =
                arrivalTimes.beforeRead(
                        listener.reactor.previousWaitEndMicros(),
                        listener.reactor.readySinceMicros());
        arrivalTimes.afterRead(listener.timers.nowMicros(), bytes.limit() < bytes.capacity());
        if (pipelined.isEmpty()) {
            arrivedMicros = sinceMicros;
        }
    }

    /**
     * Returns the earliest time at which the current request can have arrived, in microseconds of
     * the loop's clock.
     */
    long arrivedMicros() {
        return arrivedMicros;
    }

    private void setReadingPaused(boolean paused) {
        connection.setPaused(paused);
        arrivalTimes.watch(listener.timers.nowMicros(), !paused);
    }

    /**
     * Parses and handles requests one after another, as long as each is answered synchronously, and
     * leaves those above the limit to the next turn.
     */
    private void parseRequests(ByteBuffer bytes) throws BadMessageException {
        if (state == ConnectionState.READING) {
            transitionTo(ConnectionState.TAKING);
        }
        int handled = 0;
        while (state == ConnectionState.TAKING
                && bytes.hasRemaining()
                && handled < MAX_REQUESTS_PER_TURN) {
            Message request = parser.parse(bytes);
            boolean expectsContinue = parser.consumeExpectContinue();
            if (request != null && bytes.hasRemaining() && !MessageParser.mayBeRequest(bytes)) {
                // Protects the workers: a Content-Length that is too small has truncated the job's
                // body.
                throw new BadMessageException(400, "more bytes than the request has");
            } else if (request != null) {
                handled++;
                timeouts.requestReceived();
                RequestRouter.route(this, request);
                if (connection.unsentBytes() > MAX_UNSENT_BYTES) {
                    closeNow();
                }
            } else if (expectsContinue) {
                connection.write(MessageWriter.response(100).noBody());
            }
        }
        if (state == ConnectionState.TAKING) {
            transitionTo(ConnectionState.READING);
        } else if (state == ConnectionState.OPENING) {
            transitionTo(ConnectionState.WAITING);
        }
        // Input after the last answer is discarded.
        if (state.awaitsAnswer() || state == ConnectionState.READING) {
            pipelined.keep(bytes);
        } else {
            pipelined.clear();
        }
        connection.updateMemory();
        scheduleNextTurn();
    }

    @Override
    public long heldBytes() {
        return parser.heldBytes() + pipelined.heldBytes();
    }

    /**
     * Drops the input that is buffered. An incomplete request is rejected. A request that awaits
     * its answer still gets it, but the connection ends with it, as what followed has been dropped.
     */
    @Override
    public boolean releaseMemory(Connection source) {
        if (state.awaitsAnswer()) {
            pipelined.clear();
            discardsInput = true;
            return true;
        }
        return rejectBufferedInput();
    }

    // ---- Complete requests and their answers.

    /** Records that the connection has carried a job rather than call-backs. */
    void markCarriedJob() {
        carriedJob = true;
    }

    /** Records that the current request was valid, whatever its answer. */
    void markUseful() {
        timeouts.requestUseful();
    }

    /** Marks the current request as awaiting its answer. */
    Exchange awaitAnswer(boolean keepsAlive) {
        transitionTo(ConnectionState.OPENING);
        exchange = new Exchange(this, keepsAlive);
        return exchange;
    }

    /** Reverts {@link #awaitAnswer}: the request was not accepted. */
    void cancelAwait() {
        transitionTo(ConnectionState.TAKING);
        endExchange();
    }

    private void endExchange() {
        listener.requestMemory.grow(-exchange.reservedBytes);
        exchange = null;
    }

    /**
     * Returns whether the request still awaits its answer: it has none, and its peer has not been
     * seen to disconnect.
     */
    boolean isAwaiting(Exchange candidate) {
        return exchange == candidate;
    }

    /** Writes the answer to the pending request. Does nothing if it is no longer pending. */
    void answer(Exchange pending, int status, byte[] body, long retryAfterMicros) {
        if (!isAwaiting(pending)) {
            return; // The client has disconnected.
        }
        boolean synchronous = state == ConnectionState.OPENING;
        cancelAwait();
        writeResponse(status, body, retryAfterMicros, pending.keepsAlive);
        if (!synchronous) {
            handlePipelined(); // The client may have pipelined its next request.
        }
    }

    void reject(int status, String reason, boolean keepsAlive) {
        rejectedSinceSweep = true;
        answer(status, reason + "\n", keepsAlive);
    }

    void answer(int status, String text, boolean keepsAlive) {
        writeResponse(status, text.getBytes(StandardCharsets.UTF_8), 0, keepsAlive);
    }

    private void writeResponse(int status, byte[] body, long retryAfterMicros, boolean keepsAlive) {
        timeouts.answerWritten(listener.timers.nowMicros());
        boolean keep =
                keepsAlive && !discardsInput && !(listener.closesAfterAnswer() && carriedJob);
        connection.write(
                MessageWriter.response(status)
                        .header("Retry-After", formatSeconds(retryAfterMicros))
                        .header("Connection", keep ? null : "close")
                        .body(body));
        if (!keep) {
            shutDownOutput();
        }
    }

    private void shutDownOutput() {
        transitionTo(ConnectionState.ANSWERING);
        connection.closeWhenSent();
    }

    boolean isBusy() {
        return state.awaitsAnswer()
                || !parser.isAtMessageStart()
                || !pipelined.isEmpty()
                || !connection.isAllSent();
    }

    void sweep(long nowMicros) {
        boolean wasHeldBack = rejectedSinceSweep && !nextTurnScheduled;
        rejectedSinceSweep = false;
        if (wasHeldBack) {
            handlePipelined();
        }
        if (state.awaitsAnswer() || state == ConnectionState.CLOSED) {
            return;
        }
        boolean allSent = connection.isAllSent();
        boolean partial = !parser.isAtMessageStart();
        if (state == ConnectionState.ANSWERING && allSent) {
            transitionTo(ConnectionState.LINGERING);
            timeouts.outputEnded(nowMicros);
        }
        if (timeouts.isExpired(nowMicros, state, allSent, partial)) {
            expire();
        } else if (allSent
                && pipelined.isEmpty()
                && timeouts.isEvictable(nowMicros, state, partial)) {
            connection.setIdle(true, timeouts.isOnProbation(nowMicros, partial));
        }
    }

    /**
     * Answers an incomplete request with 408, shuts down the output of an idle connection, and
     * closes one whose output is shut down already.
     */
    private void expire() {
        if (state != ConnectionState.READING || !connection.isAllSent()) {
            closeNow();
        } else if (!parser.isAtMessageStart()) {
            parser = MessageParser.forRequests();
            answer(408, "the request has not come whole\n", false);
        } else {
            closeIfIdle(true);
        }
    }

    /**
     * Reads pending input, including the peer's end of stream, before the loop reports it as ready.
     */
    void readPending() {
        connection.readPending();
    }

    /** Rejects a partially received request; the rest of it is discarded. */
    void rejectIncompleteRequest() {
        if (!parser.isAtMessageStart()) {
            rejectBufferedInput();
        }
    }

    /** Returns false if no request is being received. */
    private boolean rejectBufferedInput() {
        if (state != ConnectionState.READING) {
            return false;
        }
        parser = MessageParser.forRequests(); // Releases the buffered body.
        pipelined.clear();
        writeResponse(429, NO_BODY, OVERLOAD_RETRY_MICROS, false);
        return true;
    }

    /**
     * Returns whether the connection has carried no valid request yet and is only a few
     * milliseconds old.
     */
    boolean isFresh(long nowMicros) {
        return timeouts.isFresh(nowMicros);
    }

    /**
     * Shuts down the output if no request is in progress; the peer closes its side, or is dropped
     * after a time-out. Input is read first, so that a request that arrives at this moment is
     * served, and the last answer is not lost to a reset, which closing a socket with unread bytes
     * would cause.
     *
     * @param all whether to include a connection that has carried no job yet; a worker's call-back
     *     that is still expected may be on its way on it
     */
    void closeIfIdle(boolean all) {
        if ((all || carriedJob) && state == ConnectionState.READING && !isBusy()) {
            readPending();
            if (state == ConnectionState.READING && !isBusy()) {
                shutDownOutput();
            }
        }
    }

    @Override
    public void badMessage(Connection source, BadMessageException e) {
        parser = MessageParser.forRequests();
        pipelined.clear();
        reportDisconnect();
        answer(e.status(), e.getMessage() + "\n", false);
    }

    @Override
    public void closed(Connection source) {
        transitionTo(ConnectionState.CLOSED);
        listener.closed(this);
        reportDisconnect();
    }

    /** Closes the connection immediately. */
    void closeNow() {
        if (state != ConnectionState.CLOSED) {
            connection.close();
            closed(connection);
        }
    }

    private static String formatSeconds(long micros) {
        long millis = (micros + 999) / 1000;
        return millis == 0
                ? null
                : String.format(Locale.ROOT, "%d.%03d", millis / 1000, millis % 1000);
    }

    private void reportDisconnect() {
        if (exchange != null) {
            Exchange abandoned = exchange;
            endExchange();
            if (abandoned.request != null) {
                listener.tracker.clientDisconnected(abandoned.request);
            }
        }
    }
}
