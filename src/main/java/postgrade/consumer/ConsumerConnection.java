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
    /** A request must be whole, and an answer taken, within this time; guards against peers that trickle. */
    private static final long STALL_MICROS = 15_000_000;
    private static final long IDLE_MICROS = 300_000_000;
    /** A new connection is not idle for so long: its first request may be on the way. */
    private static final long FRESH_MICROS = 1_000_000;
    /** A peer that was told of the connection's end has this time to end its own side. */
    private static final long LINGER_MICROS = 2_000_000;
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

    ConsumerConnection(Listener listener, SocketChannel channel) throws IOException {
        this.listener = listener;
        activeMicros = listener.timers.nowMicros();
        connection = Connection.accepted(listener.reactor, channel, this);
    }

    @Override
    public void received(Connection c, ByteBuffer bytes) throws BadMessage {
        activeMicros = listener.timers.nowMicros();
        connection.idle(false);
        if (ahead.hasRemaining()) {
            if (ahead.remaining() + bytes.remaining() > MOST_AHEAD) {
                connection.close();
                closed(c);
                return;
            }
            bytes = ByteBuffer.allocate(ahead.remaining() + bytes.remaining()).put(ahead).put(bytes).flip();
        }
        parse(bytes);
        if (parser.bodySoFar() > SMALL && listener.holdsTooMuch()) {
            parser = MessageParser.ofRequests(); // With it goes what was held; the rest is not read.
            exchange = new Exchange(false); // Not opened: its answer is all there will be.
            exchange.reject(FULL_RETRY_MICROS);
            account();
        }
    }

    /** Takes requests one after another, as long as each is answered at once. */
    private void parse(ByteBuffer bytes) throws BadMessage {
        parsing = true;
        while (exchange == null && bytes.hasRemaining() && connection.isOpen() && !connection.isClosing()) {
            Message request = parser.parse(bytes);
            boolean waits = parser.takeExpectation();
            if (request != null) {
                handle(request);
            } else if (waits) {
                connection.write(MessageWriter.response(100).noBody());
            }
        }
        parsing = false;
        ahead = ByteBuffer.allocate(0);
        if (bytes.hasRemaining()) {
            ahead = ByteBuffer.allocate(bytes.remaining()).put(bytes).flip();
        }
        connection.idle(!busy());
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
                answer(405, "only POST is taken here", request.keepsAlive());
            }
        } else if (path.equals("/-/ready")) {
            boolean ready = listener.readyToServe();
            answer(ready ? 200 : 503, ready ? "ready\n" : "not ready\n", request.keepsAlive());
        } else if (path.equals(JobEvents.PATH) && request.method().equals("POST")) {
            String error = JobEvents.take(request.body(), listener.gateway);
            answer(error == null ? 204 : 400, error == null ? "" : error, request.keepsAlive());
        } else {
            answer(404, "no such page\n", request.keepsAlive());
        }
    }

    private void invoke(Message request) {
        String jobClass = request.header("x-class");
        String id = request.header("x-request-id");
        Long classDeadline = jobClass == null ? null : listener.deadlineMicros.get(jobClass);
        if (!Fields.isId(id) || classDeadline == null) {
            answer(400, Fields.isId(id) ? "X-Class is not known\n" : "X-Request-Id is missing or no id\n",
                    request.keepsAlive());
            return;
        }
        long deadline;
        double slots;
        double memory;
        try {
            deadline = Fields.deadlineMicros(request.header("x-deadline"), classDeadline);
            slots = Fields.extra(request.header("x-extras"), "slots", 1);
            memory = Fields.extra(request.header("x-extras"), "memory", 0);
        } catch (IllegalArgumentException e) {
            answer(400, e.getMessage() + "\n", request.keepsAlive());
            return;
        }
        Exchange opened = new Exchange(request.keepsAlive());
        exchange = opened;
        if (request.body().length > SMALL && listener.holdsTooMuch()) {
            opened.reject(FULL_RETRY_MICROS);
            return;
        }
        opened.size = request.body().length;
        opened.invocation = new Invocation(id, jobClass, request.header("x-tenant"), request.header("x-key"), slots,
                memory, listener.timers.nowMicros() + deadline,
                new Payload(request.method(), request.target(), request.header("content-type"), request.body()),
                opened);
        if (!listener.gateway.open(opened.invocation)) {
            opened.answer(409, NONE, null);
        }
    }

    private void answer(int status, String text, boolean keepsAlive) {
        write(status, text.getBytes(StandardCharsets.UTF_8), null, keepsAlive);
    }

    private void write(int status, byte[] body, String retryAfter, boolean keepsAlive) {
        activeMicros = listener.timers.nowMicros();
        boolean keep = keepsAlive && !(listener.leaving() && ofConsumer);
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
        long most = connection.isClosing() ? LINGER_MICROS : busy() ? STALL_MICROS : IDLE_MICROS;
        if (exchange == null && nowMicros - activeMicros > most) {
            connection.close();
        }
        if (!connection.isOpen()) {
            listener.closed(this);
        } else if (!busy() && nowMicros - activeMicros > FRESH_MICROS) {
            connection.idle(true);
        }
        account();
    }

    /** Not one that has carried no job yet: a provider's call-back, which we still wait for, may be on its way. */
    void closeIfIdle() {
        if (!busy() && ofConsumer) {
            connection.close();
            listener.closed(this);
            account();
        }
    }

    @Override
    public void bad(Connection c, BadMessage e) {
        parsing = false;
        answer(e.status(), e.getMessage() + "\n", false);
    }

    @Override
    public void closed(Connection c) {
        listener.closed(this);
        account();
        if (exchange != null) {
            Exchange left = exchange;
            exchange = null;
            listener.gateway.abandon(left.invocation);
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
            long millis = (retryAfterMicros + 999) / 1000;
            answer(429, NONE, millis == 0 ? null : String.format(Locale.ROOT, "%d.%03d", millis / 1000,
                    millis % 1000));
        }

        @Override
        public void fail(boolean timedOut) {
            answer(timedOut ? 504 : 502, NONE, null);
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
