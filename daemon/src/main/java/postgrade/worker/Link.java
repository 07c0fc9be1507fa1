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
final class Link implements Connection.Owner {

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

    final Pool pool;
    final InetSocketAddress to;
    final MessageParser parser = MessageParser.forResponses();
    Connection connection;
    Request request;

    /** The last one that was answered here, until the next is carried. */
    private Request answered;

    /** What it is to carry next, once it has rested; null unless it is kept for one. */
    Request reservedFor;

    Timers.Timer timer;
    private State state = State.CONNECTING;
    private boolean spoilt;

    /** When it was last left idle, and how long it had been so when it was given its request. */
    long freeMicros;

    long idleMicros;

    /** When it came up, and how many requests it has been given. */
    long upMicros;

    int carried;

    Link(Pool pool, InetSocketAddress to) {
        this.pool = pool;
        this.to = to;
    }

    State state() {
        return state;
    }

    void to(State next) {
        if (!NEXT.get(state).contains(next)) {
            throw new IllegalStateException(state + " to " + next);
        }
        state = next;
    }

    void carry(Request r) {
        to(State.CARRYING);
        request = r;
        answered = null;
        reservedFor = null;
        r.reservedLink = null;
        r.link = this;
        r.carriedBy(this);
        carried++;
        connection.setIdle(false, false);
        r.writeTo(connection);
    }

    @Override
    public void connected(Connection c) {
        pool.cameUp(this);
    }

    @Override
    public void received(Connection c, ByteBuffer bytes) throws BadMessageException {
        pool.heard();
        if (request == null) {
            unaskedFor();
            return;
        }
        Message response = parser.parse(bytes);
        if (response != null) {
            finish(response, false, bytes.hasRemaining());
        }
    }

    /**
     * Guards the next request: bytes that nobody asked for would be taken for its response. The
     * last one may have had another's.
     */
    private void unaskedFor() {
        Request last = answered;
        fail();
        if (last != null) {
            last.contradicted();
        }
    }

    /**
     * @param ends whether the connection ends with it
     * @param more whether bytes follow that nobody asked for
     */
    private void finish(Message response, boolean ends, boolean more) {
        Request done = request;
        request = null;
        answered = done;
        if (ends || more || !response.isKeepAlive() || !connection.isAllSent()) {
            close();
        } else {
            pool.answered(this);
        }
        done.link = null;
        done.over = true;
        done.answeredOn = state == State.RESTING ? this : null;
        done.answered(response);
        if (more) {
            done.contradicted();
        }
    }

    @Override
    public void inputEnded(Connection c) {
        Message response = parser.endOfInput();
        if (response != null && request != null) {
            finish(response, true, false);
        }
    }

    @Override
    public void badMessage(Connection c, BadMessageException e) {
        spoilt = true;
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
        boolean written = connection.isAllSent();
        close();
        Request next = reservedFor;
        reservedFor = null;
        if (next != null) {
            next.reservedLink = null;
            next.over = true;
            next.broken(Request.Break.NEVER_WRITTEN);
        }
        Request lost = request;
        request = null;
        if (lost != null) {
            pool.brokeAfterIdle(idleMicros);
            lost.link = null;
            lost.over = true;
            lost.broken(
                    !written
                            ? Request.Break.NEVER_WRITTEN
                            : answerBegan()
                                    ? Request.Break.IN_ANSWER
                                    : Request.Break.AFTER_LAST_BYTE);
        }
    }

    /** Some of an answer to what it carries has come, or something that is none. */
    boolean answerBegan() {
        return spoilt || !parser.isAtMessageStart();
    }

    /** Closes the connection under a request that has been given up; the request hears nothing. */
    void abort() {
        request.over = true;
        request.link = null;
        request = null;
        close();
    }

    private void close() {
        State was = state;
        to(State.CLOSED);
        connection.close();
        pool.dropped(this, was);
    }
}
