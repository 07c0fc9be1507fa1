package postgrade.discovery;

import com.eclipsesource.json.Json;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import postgrade.dispatch.Timers;
import postgrade.http.BadMessageException;
import postgrade.http.Connection;
import postgrade.http.Message;
import postgrade.http.MessageParser;
import postgrade.http.MessageWriter;
import postgrade.http.Reactor;

/**
 * One connection to discovery: it asks for the complete list, if that is still to be had, and then
 * for changes. A connection that brings no whole frame in its time is dropped; half a frame that
 * drips on is silence.
 */
final class WatchConnection implements Connection.Owner, FrameHandler {

    /**
     * Bytes that were read in the very turn in which the time ends may be a whole frame with the
     * next read.
     */
    private static final long EXTRA_WAIT_MICROS = 50_000;

    /** Bounds the memory against a list that never ends. */
    private static final int MAX_LIST_BYTES = 4 << 20;

    private static final int OK = 200;

    /** Who follows the connection. Exactly one of its last two methods is called, at most once. */
    interface Owner {
        /** A frame has come, the n-th of this connection. */
        void frameReceived(WatchConnection source, int frames);

        /**
         * The complete list has come.
         *
         * @throws IllegalArgumentException if it is none
         */
        void completeList(WorkerList list);

        /** Changes have come. */
        void changes(WatchConnection source, WorkerList list);

        /** The version to ask changes from. */
        long version();

        /**
         * It has ended, or cannot be used.
         *
         * @param wasSilent whether it has brought nothing at all in its time
         */
        void ended(WatchConnection source, String reason, boolean wasSilent);

        /** The complete list has come on a connection that does not stay open. */
        void closedAfterList(WatchConnection source);
    }

    private final Owner owner;
    private final String dispatcherName;
    private final WatchTimeouts timeouts;
    private final Timers timers;
    private final MessageParser parser = MessageParser.forStreamingResponse(this::bodyReceived);
    private final ByteArrayOutputStream list = new ByteArrayOutputStream();
    private final WatchFrameDecoder decoder = new WatchFrameDecoder(this);
    private boolean fetchesList;
    private Connection connection;
    private Timers.Timer silenceTimer;
    private int frames;
    private long lastReadMicros = -1;
    private boolean extendedWait;

    /**
     * @param fetchesList whether the complete list is to be had first
     * @param firstFrameMicros how long the first frame is waited for
     */
    WatchConnection(
            Owner owner,
            String dispatcherName,
            boolean fetchesList,
            long firstFrameMicros,
            WatchTimeouts timeouts,
            Timers timers) {
        this.owner = owner;
        this.dispatcherName = dispatcherName;
        this.fetchesList = fetchesList;
        this.timeouts = timeouts;
        this.timers = timers;
        awaitFrame(firstFrameMicros);
    }

    /** Begins to connect. If that fails at once, the owner is told so. */
    void open(Reactor reactor, InetSocketAddress address) {
        try {
            connection = Connection.open(reactor, address, this, true);
        } catch (IOException e) {
            fail("no connection: " + e.getMessage());
        }
    }

    /** Ends it; the owner is not told. */
    void close() {
        silenceTimer.cancel();
        if (connection != null) {
            connection.close();
        }
    }

    // ---- Silence.

    private void awaitFrame(long micros) {
        silenceTimer = timers.at(timers.nowMicros() + micros, this::silenceTimerFired);
    }

    private void silenceTimerFired() {
        if (lastReadMicros == timers.nowMicros() && !extendedWait) {
            extendedWait = true;
            awaitFrame(EXTRA_WAIT_MICROS);
        } else {
            close();
            owner.ended(this, "silent", frames == 0);
        }
    }

    private void frameReceived() {
        frames++;
        extendedWait = false;
        silenceTimer.cancel();
        awaitFrame(timeouts.betweenFramesMicros());
        owner.frameReceived(this, frames);
    }

    // ---- What it asks, and what comes.

    @Override
    public void connected(Connection source) {
        if (fetchesList) {
            sendRequest("/api/targets");
        } else {
            requestChanges();
        }
    }

    private void requestChanges() {
        sendRequest("/api/targets?watch=1&from=" + owner.version());
    }

    private void sendRequest(String target) {
        connection.write(
                MessageWriter.request("GET", target).header("Host", dispatcherName).noBody());
    }

    @Override
    public void received(Connection source, ByteBuffer bytes) throws BadMessageException {
        lastReadMicros = timers.nowMicros();
        try {
            Message response = parser.parse(bytes);
            if (response != null && fetchesList && response.status() == OK) {
                listReceived(response.isKeepAlive());
            } else if (response != null) {
                fail("answered " + response.status());
            }
        } catch (RuntimeException thrown) {
            // A list that is not JSON or not in the protocol's form must not end the loop.
            fail("not understood: " + thrown.getMessage());
        }
    }

    /**
     * The complete list has come. The watch follows it on the same connection if that stays open.
     */
    private void listReceived(boolean staysOpen) {
        owner.completeList(parseList(list.toString(StandardCharsets.UTF_8)));
        list.reset();
        fetchesList = false;
        silenceTimer.cancel();
        if (staysOpen) {
            awaitFrame(timeouts.firstFrameMicros());
            requestChanges();
        } else {
            close();
            owner.closedAfterList(this);
        }
    }

    private void bodyReceived(byte[] bytes) {
        if (!fetchesList) {
            decoder.decode(bytes);
            return;
        }
        list.writeBytes(bytes);
        if (list.size() > MAX_LIST_BYTES) {
            throw new IllegalArgumentException("list too long");
        }
    }

    private static WorkerList parseList(String text) {
        return WorkerList.of(Json.parse(text).asObject());
    }

    @Override
    public void heartbeat() {
        frameReceived();
    }

    @Override
    public void object(String json) {
        WorkerList list = parseList(json);
        frameReceived();
        owner.changes(this, list);
    }

    // ---- Its end.

    private void fail(String reason) {
        close();
        owner.ended(this, reason, false);
    }

    @Override
    public void inputEnded(Connection source) {
        Message response = parser.endOfInput();
        if (response != null && fetchesList && response.status() == OK) {
            try {
                listReceived(false);
            } catch (RuntimeException thrown) {
                fail("not understood: " + thrown.getMessage());
            }
        }
    }

    @Override
    public void badMessage(Connection source, BadMessageException thrown) {
        fail("not HTTP: " + thrown.getMessage());
    }

    @Override
    public void closed(Connection source) {
        fail("closed");
    }
}
