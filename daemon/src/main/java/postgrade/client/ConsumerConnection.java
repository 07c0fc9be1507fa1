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
final class ConsumerConnection implements Connection.Owner {

    private static final byte[] NO_BODY = {};
    private static final ByteBuffer NOTHING = ByteBuffer.allocate(0);

    /** Bodies up to this length are taken whatever is held; call-backs are such. */
    static final int SMALL = 4 << 10;

    static final long FULL_RETRY_MICROS = 500_000;

    /** Guards the memory against a peer that asks and asks and does not read. */
    private static final long MOST_UNSENT = 256 << 10;

    /** Bytes kept of requests that come before the one ahead of them is answered. */
    private static final int MOST_AHEAD = MessageParser.MAX_BODY_BYTES * 2;

    final ClientListener listener;
    private final Connection connection;
    private final Expiry expiry;
    private ConnectionState state = ConnectionState.READING;
    private MessageParser parser = MessageParser.forRequests();

    /** What has come behind the request that waits. */
    private ByteBuffer ahead = NOTHING;

    /** The request that waits; none where no answer is owed. */
    private Exchange exchange;

    private boolean ofConsumer;

    /** A request has been turned away since the last sweep. */
    private boolean turnedAway;

    private long accounted;
    private final ArrivalTimes arrivals;

    /** When what is being taken came, at the earliest. */
    private long arrivedMicros;

    /**
     * @param sinceMicros it has waited in the backlog since then at the earliest
     */
    ConsumerConnection(ClientListener listener, SocketChannel channel, long sinceMicros)
            throws IOException {
        this.listener = listener;
        arrivals = new ArrivalTimes(sinceMicros, listener.timers.nowMicros());
        expiry = new Expiry(listener.timers.nowMicros());
        connection = Connection.accepted(listener.reactor, channel, this);
    }

    private void to(ConnectionState next) {
        state = state.to(next);
    }

    @Override
    public void received(Connection c, ByteBuffer bytes) throws BadMessageException {
        connection.setIdle(false, false);
        noteArrival(bytes);
        expiry.came(listener.timers.nowMicros(), !state.owes() && parser.isAtMessageStart());
        if (ahead.hasRemaining()) {
            if (ahead.remaining() + bytes.remaining() > MOST_AHEAD) {
                // Guards the one answer: a close over unread bytes would reset the connection, and
                // the client hear nothing.
                throw new BadMessageException(400, "more sent ahead of its answer than is kept");
            }
            bytes =
                    ByteBuffer.allocate(ahead.remaining() + bytes.remaining())
                            .put(ahead)
                            .put(bytes)
                            .flip();
        }
        if (state.owes() && !MessageParser.mayBeRequest(bytes)) {
            throw new BadMessageException(400, "more bytes than the request has");
        }
        take(bytes);
        if (parser.bodyBytesReceived() > SMALL && listener.holdsTooMuch()) {
            refuseUnfinished();
        }
        // Guards the loop's time: who sends the same rubbish as soon as it is turned away is read
        // from again at the
        // next sweep only. But whoever waits for a job's answer may leave, and that must be seen at
        // once.
        pause(turnedAway && state == ConnectionState.READING);
    }

    /** What was sent ahead has waited since its own arrival, also if more has come behind it. */
    private void noteArrival(ByteBuffer bytes) {
        long sinceMicros =
                arrivals.beforeRead(
                        listener.reactor.previousWaitEndMicros(),
                        listener.reactor.readySinceMicros());
        arrivals.afterRead(listener.timers.nowMicros(), bytes.limit() < bytes.capacity());
        if (!ahead.hasRemaining()) {
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

    private void pause(boolean now) {
        connection.setPaused(now);
        arrivals.watch(listener.timers.nowMicros(), !now);
    }

    /** Takes requests one after another, as long as each is answered at once. */
    private void take(ByteBuffer bytes) throws BadMessageException {
        if (state == ConnectionState.READING) {
            to(ConnectionState.TAKING);
        }
        while (state == ConnectionState.TAKING && bytes.hasRemaining()) {
            Message request = parser.parse(bytes);
            boolean waits = parser.consumeExpectContinue();
            if (request != null && bytes.hasRemaining() && !MessageParser.mayBeRequest(bytes)) {
                // Guards the providers: a length that is too small has cut the job's body short.
                throw new BadMessageException(400, "more bytes than the request has");
            } else if (request != null) {
                expiry.requestCame();
                Requests.handle(this, request);
                if (connection.unsentBytes() > MOST_UNSENT) {
                    drop();
                }
            } else if (waits) {
                connection.write(MessageWriter.response(100).noBody());
            }
        }
        if (state == ConnectionState.TAKING) {
            to(ConnectionState.READING);
        } else if (state == ConnectionState.OPENING) {
            to(ConnectionState.WAITING);
        }
        // What comes behind the last answer is never sent on.
        ahead =
                state.owes() && bytes.hasRemaining()
                        ? ByteBuffer.allocate(bytes.remaining()).put(bytes).flip()
                        : NOTHING;
        account();
    }

    /** Keeps the listener's count of the bytes held for this connection. */
    private void account() {
        long held =
                connection.isOpen()
                        ? parser.bodyBytesReceived()
                                + ahead.remaining()
                                + connection.unsentBytes()
                                + (exchange == null ? 0 : exchange.size)
                        : 0;
        listener.holds(held - accounted);
        accounted = held;
    }

    // ---- Requests that have come whole, and their answers.

    /** It has carried a job, not call-backs. */
    void ofConsumer() {
        ofConsumer = true;
    }

    /** The request that has come was of use, whatever its answer. */
    void wasOfUse() {
        expiry.wasOfUse();
    }

    /** The request that has come waits for its answer from now on. */
    Exchange open(boolean keepsAlive) {
        to(ConnectionState.OPENING);
        exchange = new Exchange(this, keepsAlive);
        return exchange;
    }

    /** It does not, as nobody has taken it over. */
    void takeBack() {
        to(ConnectionState.TAKING);
        exchange = null;
    }

    /** The request still waits: it has no answer, and its peer has not been seen to leave. */
    boolean awaits(Exchange e) {
        return exchange == e;
    }

    /** The answer to the request that waits; none to one that does so no longer. */
    void answer(Exchange waits, int status, byte[] body, long retryAfterMicros) {
        if (!awaits(waits)) {
            return; // The consumer has left.
        }
        boolean atOnce = state == ConnectionState.OPENING;
        takeBack();
        write(status, body, retryAfterMicros, waits.keepsAlive);
        if (!atOnce) {
            try {
                take(ahead); // A consumer may have sent its next request already.
            } catch (BadMessageException e) {
                badMessage(connection, e);
            }
        }
    }

    void turnAway(int status, String why, boolean keepsAlive) {
        turnedAway = true;
        answer(status, why + "\n", keepsAlive);
    }

    void answer(int status, String text, boolean keepsAlive) {
        write(status, text.getBytes(StandardCharsets.UTF_8), 0, keepsAlive);
    }

    private void write(int status, byte[] body, long retryAfterMicros, boolean keepsAlive) {
        expiry.answered(listener.timers.nowMicros());
        boolean keep = keepsAlive && !(listener.endsConnections() && ofConsumer);
        connection.write(
                MessageWriter.response(status)
                        .header("Retry-After", seconds(retryAfterMicros))
                        .header("Connection", keep ? null : "close")
                        .body(body));
        if (!keep) {
            end();
        }
    }

    private void end() {
        to(ConnectionState.ANSWERING);
        connection.closeWhenSent();
    }

    boolean busy() {
        return state.owes()
                || !parser.isAtMessageStart()
                || ahead.hasRemaining()
                || !connection.isAllSent();
    }

    void sweep(long nowMicros) {
        turnedAway = false;
        pause(false);
        if (state.owes() || state == ConnectionState.CLOSED) {
            return;
        }
        boolean allSent = connection.isAllSent();
        boolean inPart = !parser.isAtMessageStart();
        if (state == ConnectionState.ANSWERING && allSent) {
            to(ConnectionState.LINGERING);
            expiry.ended(nowMicros);
        }
        if (expiry.isOver(nowMicros, state, allSent, inPart)) {
            expire();
        } else if (allSent && expiry.idle(nowMicros, state, inPart)) {
            connection.setIdle(true, expiry.onProbation(nowMicros, inPart));
        }
        account();
    }

    /**
     * A request begun is answered; a connection that says nothing is ended; one that has been told
     * so is closed.
     */
    private void expire() {
        if (state != ConnectionState.READING || !connection.isAllSent()) {
            drop();
        } else if (!parser.isAtMessageStart()) {
            parser = MessageParser.forRequests();
            answer(408, "the request has not come whole\n", false);
        } else {
            leaveIfResting(true);
        }
    }

    /** Takes what has come, the peer's end too, though the loop has not come to it yet. */
    void look() {
        connection.readPending();
    }

    /** A request that has come in part is rejected, and what comes of it is passed over. */
    void refuseUnfinished() {
        if (state == ConnectionState.READING && !parser.isAtMessageStart()) {
            parser = MessageParser.forRequests(); // With it goes what was held.
            write(429, NO_BODY, FULL_RETRY_MICROS, false);
            account();
        }
    }

    /** Has carried nothing of use yet and has hardly had the time to. */
    boolean fresh(long nowMicros) {
        return expiry.fresh(nowMicros);
    }

    /**
     * Ends our side if nothing is under way; the peer ends its own, or is given the time to. Guards
     * the request that comes in this moment, which is served, and the last answer: a close over
     * unread bytes resets the connection.
     *
     * @param all also one that has carried no job yet; a provider's call-back, which we still wait
     *     for, may be on its way
     */
    void leaveIfResting(boolean all) {
        if ((all || ofConsumer) && state == ConnectionState.READING && !busy()) {
            look();
            if (state == ConnectionState.READING && !busy()) {
                end();
            }
        }
    }

    @Override
    public void badMessage(Connection c, BadMessageException e) {
        parser = MessageParser.forRequests();
        ahead = NOTHING;
        leave();
        answer(e.status(), e.getMessage() + "\n", false);
        account();
    }

    @Override
    public void closed(Connection c) {
        to(ConnectionState.CLOSED);
        listener.closed(this);
        account();
        leave();
    }

    /** Closes at once. */
    void drop() {
        if (state != ConnectionState.CLOSED) {
            connection.close();
            closed(connection);
        }
    }

    private static String seconds(long micros) {
        long millis = (micros + 999) / 1000;
        return millis == 0
                ? null
                : String.format(Locale.ROOT, "%d.%03d", millis / 1000, millis % 1000);
    }

    private void leave() {
        if (exchange != null) {
            Exchange left = exchange;
            exchange = null;
            if (left.invocation != null) {
                listener.gateway.clientDisconnected(left.invocation);
            }
        }
    }
}
