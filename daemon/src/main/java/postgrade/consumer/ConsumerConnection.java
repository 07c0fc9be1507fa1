package postgrade.consumer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import postgrade.gateway.Consumer;
import postgrade.gateway.Gateway;
import postgrade.gateway.Invocation;
import postgrade.gateway.Payload;
import postgrade.http.BadMessage;
import postgrade.http.Connection;
import postgrade.http.Message;
import postgrade.http.MessageParser;
import postgrade.http.MessageWriter;

/** One accepted connection: a consumer's or a provider's. It carries one request at a time. */
final class ConsumerConnection implements Connection.Owner {

    private static final byte[] NONE = {};
    /** Bodies up to this length are taken whatever is held; call-backs are such. */
    private static final int SMALL = 4 << 10;
    private static final long FULL_RETRY_MICROS = 500_000;
    /**
     * A request must be whole so long after the connection came, or after its first byte on a connection that has
     * carried one. Guards against peers that say nothing or stop half-way: who sends rubbish is owed an error or a close
     * within 3 s of connecting. One that comes on in pieces is given as long again after each, up to the most.
     */
    private static final long REQUEST_MICROS = 2_000_000;
    private static final long MOST_REQUEST_MICROS = 10_000_000;
    /** A request whose latest piece is no older is moving: its connection goes after those of others that wait. */
    private static final long MOVING_MICROS = 1_000_000;
    /** An answer must be taken within this time. */
    private static final long STALL_MICROS = 5_000_000;
    private static final long IDLE_MICROS = 300_000_000;
    /** A new connection, or one with a request begun, is not idle for so long: the rest may be on the way. */
    private static final long FRESH_MICROS = 50_000;
    /** A peer that was told of the connection's end has this time to end its own side. */
    private static final long LINGER_MICROS = 1_000_000;
    /** A connection that has carried so many requests of use is past its probation. */
    private static final int PROVED = 2;
    /** Guards the memory against a peer that asks and asks and does not read. */
    private static final long MOST_UNSENT = 256 << 10;
    /** Bytes kept of requests that come before the one ahead of them is answered. */
    private static final int MOST_AHEAD = MessageParser.MOST_BODY * 2;

    private final Listener listener;
    private final Connection connection;
    private MessageParser parser = MessageParser.ofRequests();
    private ByteBuffer ahead = ByteBuffer.allocate(0);
    private Exchange exchange;
    private boolean parsing;
    private boolean ofConsumer;
    private long accounted;
    private long activeMicros;
    /** When the request that is coming in began; the first one begins with the connection. */
    private long requestMicros;
    /** In how many parts it has come so far. */
    private int pieces;
    /** Requests that were of use, whatever their answer. */
    private int useful;
    private boolean turnedAway;
    /** When the last byte of all was sent and our side ended, 0 before. */
    private long endedMicros;

    ConsumerConnection(Listener listener, SocketChannel channel) throws IOException {
        this.listener = listener;
        activeMicros = listener.timers.nowMicros();
        requestMicros = activeMicros;
        connection = Connection.accepted(listener.reactor, channel, this);
    }

    @Override
    public void received(Connection c, ByteBuffer bytes) throws BadMessage {
        activeMicros = listener.timers.nowMicros();
        connection.idle(false, false);
        if (useful > 0 && exchange == null && parser.atStart()) {
            requestMicros = activeMicros;
        }
        pieces++;
        if (ahead.hasRemaining()) {
            if (ahead.remaining() + bytes.remaining() > MOST_AHEAD) {
                // Guards the one answer: a close over unread bytes would reset the connection, and the client hear nothing.
                throw new BadMessage(400, "more sent ahead of its answer than is kept");
            }
            bytes = ByteBuffer.allocate(ahead.remaining() + bytes.remaining()).put(ahead).put(bytes).flip();
        }
        if (exchange != null && !MessageParser.mayBeRequest(bytes)) {
            throw new BadMessage(400, "more bytes than the request has");
        }
        parse(bytes);
        if (parser.bodySoFar() > SMALL && listener.holdsTooMuch()) {
            parser = MessageParser.ofRequests(); // With it goes what was held; the rest is not read.
            exchange = new Exchange(false); // Not opened: its answer is all there will be.
            exchange.reject(FULL_RETRY_MICROS);
            account();
        }
        // Guards the loop's time: who sends the same rubbish as soon as it is turned away is read from again at the
        // next sweep only. But whoever waits for a job's answer may leave, and that must be seen at once.
        connection.pause(turnedAway && exchange == null && !connection.isClosing());
    }

    /** Takes requests one after another, as long as each is answered at once. */
    private void parse(ByteBuffer bytes) throws BadMessage {
        parsing = true;
        while (exchange == null && bytes.hasRemaining() && connection.isOpen() && !connection.isClosing()) {
            Message request = parser.parse(bytes);
            boolean waits = parser.takeExpectation();
            if (request != null && bytes.hasRemaining() && !MessageParser.mayBeRequest(bytes)) {
                // Guards the providers: a length that is too small has cut the job's body short.
                throw new BadMessage(400, "more bytes than the request has");
            } else if (request != null) {
                requestMicros = activeMicros;
                pieces = 0;
                handle(request);
                if (connection.bytesUnsent() > MOST_UNSENT) {
                    connection.close();
                    closed(connection);
                }
            } else if (waits) {
                connection.write(MessageWriter.response(100).noBody());
            }
        }
        parsing = false;
        ahead = ByteBuffer.allocate(0);
        if (bytes.hasRemaining() && !connection.isClosing()) { // What comes behind the last answer is never sent on.
            ahead = ByteBuffer.allocate(bytes.remaining()).put(bytes).flip();
        }
        account();
    }

    /** Keeps the listener's count of the bytes held for this connection. */
    private void account() {
        long held = connection.isOpen() ? parser.bodySoFar() + ahead.remaining() + connection.bytesUnsent()
                + (exchange == null ? 0 : exchange.size) : 0;
        listener.holds(held - accounted);
        accounted = held;
    }

    private void handle(Message request) {
        String path = request.target().split("\\?", 2)[0];
        if (path.equals("/api") || path.startsWith("/api/")) {
            ofConsumer = true;
            if (request.method().equals("POST")) {
                invoke(request);
            } else {
                turnAway(405, "only POST is taken here", request.keepsAlive());
            }
        } else if (path.equals("/-/ready")) {
            useful++;
            boolean ready = listener.readyToServe();
            answer(ready ? 200 : 503, ready ? "ready\n" : "not ready\n", request.keepsAlive());
        } else if (path.equals(JobEvent.PATH) && request.method().equals("POST")) {
            callBack(request);
        } else {
            turnAway(404, "no such page", request.keepsAlive());
        }
    }

    /** A provider takes an answer for the end of its duty: it leaves only once whoever holds the job has the news. */
    private void callBack(Message request) {
        JobEvent event;
        try {
            event = JobEvent.of(request.body());
        } catch (IllegalArgumentException e) {
            turnAway(400, e.getMessage(), request.keepsAlive());
            return;
        }
        useful++;
        if (event.tell(listener.gateway) || !listener.relay.any()) {
            answer(204, "", request.keepsAlive());
            return;
        }
        Exchange waits = new Exchange(request.keepsAlive());
        exchange = waits;
        listener.relay.callBack(request.body(), waits::relayed);
    }

    private void invoke(Message request) {
        Submission job;
        try {
            job = Submission.of(request, listener);
        } catch (BadMessage e) {
            turnAway(e.status(), e.getMessage(), request.keepsAlive());
            return;
        }
        Exchange opened = new Exchange(request.keepsAlive());
        exchange = opened;
        if (request.body().length > SMALL && listener.holdsTooMuch()) {
            opened.reject(FULL_RETRY_MICROS);
            return;
        }
        opened.size = request.body().length;
        opened.invocation = new Invocation(job.id(), job.jobClass(), job.tenant(), job.key(), job.slots(), job.memory(),
                listener.timers.nowMicros() + job.deadlineMicros(),
                new Payload(request.method(), request.target(), request.header("content-type"),
                        request.header("idempotency-key"), request.body()),
                opened);
        if (listener.gateway.open(opened.invocation)) {
            useful++;
            if (job.claim() != null && exchange == opened) {
                job.claim().accept(job.id()); // Not of one turned away at once: a later job may have its id.
            }
        } else {
            exchange = null;
            turnAway(409, "a job with this id is open", request.keepsAlive());
        }
    }

    private void turnAway(int status, String why, boolean keepsAlive) {
        turnedAway = true;
        answer(status, why + "\n", keepsAlive);
    }

    private void answer(int status, String text, boolean keepsAlive) {
        write(status, text.getBytes(StandardCharsets.UTF_8), null, keepsAlive);
    }

    private void write(int status, byte[] body, String retryAfter, boolean keepsAlive) {
        activeMicros = listener.timers.nowMicros();
        boolean keep = keepsAlive && !(listener.endsConnections() && ofConsumer);
        connection.write(MessageWriter.response(status).header("Retry-After", retryAfter)
                .header("Connection", keep ? null : "close").body(body));
        if (!keep) {
            connection.closeWhenSent();
        }
    }

    boolean busy() {
        return exchange != null || !parser.atStart() || ahead.hasRemaining() || !connection.allSent();
    }

    void sweep(long nowMicros) {
        turnedAway = false;
        connection.pause(false);
        if (exchange != null) {
            return;
        }
        boolean awaited = useful == 0 || !parser.atStart();
        if (endedMicros == 0 && connection.isClosing() && connection.allSent()) {
            endedMicros = nowMicros;
        }
        long due = !connection.allSent() ? activeMicros + STALL_MICROS
                : connection.isClosing() ? endedMicros + LINGER_MICROS
                : awaited ? awaitedUntil() : activeMicros + IDLE_MICROS;
        if (nowMicros >= due) {
            expire();
        } else if (connection.allSent()
                && (connection.isClosing() || !awaited || nowMicros - requestMicros >= FRESH_MICROS)) {
            boolean moving = inPieces() && nowMicros - activeMicros < MOVING_MICROS;
            connection.idle(true, useful < PROVED && !moving);
        }
        account();
    }

    /** Comes on in pieces, as an honest request does over a slow line. */
    private boolean inPieces() {
        return pieces > 1 && !parser.atStart();
    }

    private long awaitedUntil() {
        return inPieces() ? Math.min(activeMicros + REQUEST_MICROS, requestMicros + MOST_REQUEST_MICROS)
                : requestMicros + REQUEST_MICROS;
    }

    /** A request begun is answered; a connection that says nothing is ended; one that has been told so is closed. */
    private void expire() {
        if (connection.isClosing() || !connection.allSent()) {
            connection.close();
            listener.closed(this);
        } else if (!parser.atStart()) {
            parser = MessageParser.ofRequests();
            answer(408, "the request has not come whole\n", false);
        } else {
            leaveIfResting(true);
        }
    }

    /** Takes what has come, the peer's end too, though the loop has not come to it yet. */
    void look() {
        connection.look();
    }

    /** A request that has come in part is rejected, and what comes of it is passed over. */
    void refuseUnfinished() {
        if (exchange == null && !parser.atStart() && !connection.isClosing()) {
            parser = MessageParser.ofRequests();
            write(429, NONE, seconds(FULL_RETRY_MICROS), false);
            account();
        }
    }

    /** Has carried nothing of use yet and has hardly had the time to. */
    boolean fresh(long nowMicros) {
        return useful == 0 && nowMicros - requestMicros < FRESH_MICROS;
    }

    /**
     * Ends our side if nothing is under way; the peer ends its own, or is given the time to. Guards the request that comes
     * in this moment, which is served, and the last answer: a close over unread bytes resets the connection.
     *
     * @param all also one that has carried no job yet; a provider's call-back, which we still wait for, may be on its way
     */
    void leaveIfResting(boolean all) {
        if ((all || ofConsumer) && !busy() && !connection.isClosing()) {
            look();
            if (!busy()) {
                connection.closeWhenSent();
            }
        }
    }

    @Override
    public void bad(Connection c, BadMessage e) {
        parsing = false;
        parser = MessageParser.ofRequests();
        ahead = ByteBuffer.allocate(0);
        leave();
        answer(e.status(), e.getMessage() + "\n", false);
        account();
    }

    @Override
    public void closed(Connection c) {
        listener.closed(this);
        account();
        leave();
    }

    private static String seconds(long micros) {
        long millis = (micros + 999) / 1000;
        return millis == 0 ? null : String.format(Locale.ROOT, "%d.%03d", millis / 1000, millis % 1000);
    }

    private void leave() {
        if (exchange != null) {
            Exchange left = exchange;
            exchange = null;
            if (left.invocation != null) {
                listener.gateway.abandon(left.invocation);
            }
        }
    }

    /** One request that waits for its answer. */
    private final class Exchange implements Consumer {
        private final boolean keepsAlive;
        private Invocation invocation;
        private int size;

        Exchange(boolean keepsAlive) {
            this.keepsAlive = keepsAlive;
        }

        @Override
        public void serve(byte[] result) {
            answer(200, result, null);
        }

        @Override
        public void reject(long retryAfterMicros) {
            answer(429, NONE, seconds(retryAfterMicros));
        }

        @Override
        public void fail(boolean timedOut) {
            answer(timedOut ? 504 : 502, NONE, null);
        }

        @Override
        public boolean hasLeft() {
            if (exchange == this) {
                look(); // The end may lie in the socket, behind other bytes or while nothing is read from it.
            }
            return exchange != this;
        }

        /** Unanswered the provider repeats it, and finds the process that has the job. */
        void relayed(boolean heard) {
            if (heard) {
                answer(204, NONE, null);
            } else if (exchange == this) {
                connection.close();
                closed(connection);
            }
        }

        private void answer(int status, byte[] body, String retryAfter) {
            if (exchange != this) {
                return; // The consumer has left.
            }
            exchange = null;
            write(status, body, retryAfter, keepsAlive);
            if (!parsing && connection.isOpen()) {
                try {
                    // A consumer may have sent its next request already.
                    parse(ahead);
                } catch (BadMessage e) {
                    bad(connection, e);
                }
            }
        }
    }
}
