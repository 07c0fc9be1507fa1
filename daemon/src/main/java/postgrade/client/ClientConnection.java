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

/** One accepted connection: a consumer's or a provider's. It carries one request at a time. */
final class ClientConnection implements Connection.Owner {

    private static final byte[] NO_BODY = {};
    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

    /** Bodies up to this length are taken whatever is held; call-backs are such. */
    static final int SMALL_BODY_BYTES = 4 << 10;

    static final long OVERLOAD_RETRY_MICROS = 500_000;

    /** Guards the memory against a peer that asks and asks and does not read. */
    private static final long MAX_UNSENT_BYTES = 256 << 10;

    /** Bytes kept of requests that come before the one ahead of them is answered. */
    private static final int MAX_PIPELINED_BYTES = MessageParser.MAX_BODY_BYTES * 2;

    final ClientListener listener;
    private final Connection connection;
    private final ConnectionTimeouts timeouts;
    private ConnectionState state = ConnectionState.READING;
    private MessageParser parser = MessageParser.forRequests();

    /** What has come behind the request that waits. */
    private ByteBuffer pipelined = EMPTY;

    /** The request that waits; none where no answer is owed. */
    private Exchange exchange;

    private boolean carriedJob;

    /** A request has been turned away since the last sweep. */
    private boolean rejectedSinceSweep;

    private long accountedBytes;
    private final ArrivalTimes arrivalTimes;

    /** When what is being taken came, at the earliest. */
    private long arrivedMicros;

    /**
     * @param sinceMicros it has waited in the backlog since then at the earliest
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
        if (pipelined.hasRemaining()) {
            if (pipelined.remaining() + bytes.remaining() > MAX_PIPELINED_BYTES) {
                // Guards the one answer: a close over unread bytes would reset the connection, and
                // the client hear nothing.
                throw new BadMessageException(400, "more sent ahead of its answer than is kept");
            }
            bytes =
                    ByteBuffer.allocate(pipelined.remaining() + bytes.remaining())
                            .put(pipelined)
                            .put(bytes)
                            .flip();
        }
        if (state.awaitsAnswer() && !MessageParser.mayBeRequest(bytes)) {
            throw new BadMessageException(400, "more bytes than the request has");
        }
        parseRequests(bytes);
        if (parser.bodyBytesReceived() > SMALL_BODY_BYTES && listener.exceedsMemoryLimit()) {
            rejectIncompleteRequest();
        }
        // Guards the loop's time: who sends the same rubbish as soon as it is turned away is read
        // from again at the
        // next sweep only. But whoever waits for a job's answer may leave, and that must be seen at
        // once.
        setReadingPaused(rejectedSinceSweep && state == ConnectionState.READING);
    }

    /** What was sent ahead has waited since its own arrival, also if more has come behind it. */
    private void recordArrival(ByteBuffer bytes) {
        long sinceMicros =
                arrivalTimes.beforeRead(
                        listener.reactor.previousWaitEndMicros(),
                        listener.reactor.readySinceMicros());
        arrivalTimes.afterRead(listener.timers.nowMicros(), bytes.limit() < bytes.capacity());
        if (!pipelined.hasRemaining()) {
            arrivedMicros = sinceMicros;
        }
    }

    /**
     * The request that is being taken came then at the earliest, in microseconds of the loop's
     * clock.
     */
    long arrivedMicros() {
        return arrivedMicros;
    }

    private void setReadingPaused(boolean paused) {
        connection.setPaused(paused);
        arrivalTimes.watch(listener.timers.nowMicros(), !paused);
    }

    /** Takes requests one after another, as long as each is answered at once. */
    private void parseRequests(ByteBuffer bytes) throws BadMessageException {
        if (state == ConnectionState.READING) {
            transitionTo(ConnectionState.TAKING);
        }
        while (state == ConnectionState.TAKING && bytes.hasRemaining()) {
            Message request = parser.parse(bytes);
            boolean expectsContinue = parser.consumeExpectContinue();
            if (request != null && bytes.hasRemaining() && !MessageParser.mayBeRequest(bytes)) {
                // Guards the providers: a length that is too small has cut the job's body short.
                throw new BadMessageException(400, "more bytes than the request has");
            } else if (request != null) {
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
        // What comes behind the last answer is never sent on.
        pipelined =
                state.awaitsAnswer() && bytes.hasRemaining()
                        ? ByteBuffer.allocate(bytes.remaining()).put(bytes).flip()
                        : EMPTY;
        updateHeldBytes();
    }

    /** Keeps the listener's count of the bytes held for this connection. */
    private void updateHeldBytes() {
        long heldNow =
                connection.isOpen()
                        ? parser.bodyBytesReceived()
                                + pipelined.remaining()
                                + connection.unsentBytes()
                                + (exchange == null ? 0 : exchange.bodyBytes)
                        : 0;
        listener.addHeldBytes(heldNow - accountedBytes);
        accountedBytes = heldNow;
    }

    // ---- Requests that have come whole, and their answers.

    /** It has carried a job, not call-backs. */
    void markCarriedJob() {
        carriedJob = true;
    }

    /** The request that has come was of use, whatever its answer. */
    void markUseful() {
        timeouts.requestUseful();
    }

    /** The request that has come waits for its answer from now on. */
    Exchange awaitAnswer(boolean keepsAlive) {
        transitionTo(ConnectionState.OPENING);
        exchange = new Exchange(this, keepsAlive);
        return exchange;
    }

    /** It does not, as nobody has taken it over. */
    void cancelAwait() {
        transitionTo(ConnectionState.TAKING);
        exchange = null;
    }

    /** The request still waits: it has no answer, and its peer has not been seen to leave. */
    boolean isAwaiting(Exchange candidate) {
        return exchange == candidate;
    }

    /** The answer to the request that waits; none to one that does so no longer. */
    void answer(Exchange pending, int status, byte[] body, long retryAfterMicros) {
        if (!isAwaiting(pending)) {
            return; // The consumer has left.
        }
        boolean synchronous = state == ConnectionState.OPENING;
        cancelAwait();
        writeResponse(status, body, retryAfterMicros, pending.keepsAlive);
        if (!synchronous) {
            try {
                parseRequests(pipelined); // A consumer may have sent its next request already.
            } catch (BadMessageException e) {
                badMessage(connection, e);
            }
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
        boolean keep = keepsAlive && !(listener.closesAfterAnswer() && carriedJob);
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
                || pipelined.hasRemaining()
                || !connection.isAllSent();
    }

    void sweep(long nowMicros) {
        rejectedSinceSweep = false;
        setReadingPaused(false);
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
        } else if (allSent && timeouts.isEvictable(nowMicros, state, partial)) {
            connection.setIdle(true, timeouts.isOnProbation(nowMicros, partial));
        }
        updateHeldBytes();
    }

    /**
     * A request begun is answered; a connection that says nothing is ended; one that has been told
     * so is closed.
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

    /** Takes what has come, the peer's end too, though the loop has not come to it yet. */
    void readPending() {
        connection.readPending();
    }

    /** A request that has come in part is rejected, and what comes of it is passed over. */
    void rejectIncompleteRequest() {
        if (state == ConnectionState.READING && !parser.isAtMessageStart()) {
            parser = MessageParser.forRequests(); // With it goes what was held.
            writeResponse(429, NO_BODY, OVERLOAD_RETRY_MICROS, false);
            updateHeldBytes();
        }
    }

    /** Has carried nothing of use yet and has hardly had the time to. */
    boolean isFresh(long nowMicros) {
        return timeouts.isFresh(nowMicros);
    }

    /**
     * Ends our side if nothing is under way; the peer ends its own, or is given the time to. Guards
     * the request that comes in this moment, which is served, and the last answer: a close over
     * unread bytes resets the connection.
     *
     * @param all also one that has carried no job yet; a provider's call-back, which we still wait
     *     for, may be on its way
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
        pipelined = EMPTY;
        reportDisconnect();
        answer(e.status(), e.getMessage() + "\n", false);
        updateHeldBytes();
    }

    @Override
    public void closed(Connection source) {
        transitionTo(ConnectionState.CLOSED);
        listener.closed(this);
        updateHeldBytes();
        reportDisconnect();
    }

    /** Closes at once. */
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
            exchange = null;
            if (abandoned.request != null) {
                listener.tracker.clientDisconnected(abandoned.request);
            }
        }
    }
}
