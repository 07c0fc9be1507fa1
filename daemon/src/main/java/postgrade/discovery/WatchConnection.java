package postgrade.discovery;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import postgrade.dispatch.Timers;
import postgrade.http.BadMessageException;
import postgrade.http.Connection;
import postgrade.http.MemoryBudget;
import postgrade.http.Message;
import postgrade.http.MessageParser;
import postgrade.http.MessageWriter;
import postgrade.http.Reactor;
import postgrade.json.JsonReader;

/**
 * One connection to discovery. It requests the complete list, if this has not been received yet,
 * and then the changes. A connection that receives no complete frame in time is dropped; a partial
 * frame that trickles in counts as silence.
 */
final class WatchConnection implements Connection.Owner, FrameHandler {

    /**
     * Bytes that were read in the same iteration in which the time ran out may become a complete
     * frame with the next read.
     */
    private static final long EXTRA_WAIT_MICROS = 50_000;

    /** Bounds memory against a list that never ends. */
    private static final int MAX_LIST_BYTES = 4 << 20;

    private static final int OK = 200;

    /** The owner of the connection. Exactly one of its last two methods is called, at most once. */
    interface Owner {
        /** A frame has been received; {@code frames} counts those of this connection. */
        void frameReceived(WatchConnection source, int frames);

        /**
         * The complete list has been received.
         *
         * @throws IllegalArgumentException if the list is not complete
         */
        void completeList(WorkerList list);

        /** Changes have been received. */
        void changes(WatchConnection source, WorkerList list);

        /** Returns the version from which changes are requested. */
        long version();

        /**
         * The connection has ended, or cannot be used.
         *
         * @param wasSilent whether no frame was received before the time ran out
         */
        void ended(WatchConnection source, String reason, boolean wasSilent);

        /** The complete list has been received on a connection that does not stay open. */
        void closedAfterList(WatchConnection source);
    }

    private final Owner owner;
    private final String dispatcherName;
    private final WatchTimeouts timeouts;
    private final Timers timers;
    private final MessageParser parser = MessageParser.forStreamingResponse(this::bodyReceived);
    private ByteArrayOutputStream list = new ByteArrayOutputStream();
    private final WatchFrameDecoder decoder = new WatchFrameDecoder(this);
    private boolean fetchesList;
    private Connection connection;

    /** The memory of a partial list; null until the connection is opened. */
    private MemoryBudget.Reservation memory;

    private Timers.Timer silenceTimer;
    private int frames;
    private long lastReadMicros = -1;
    private boolean extendedWait;

    /**
     * Creates a connection that is not open yet and starts its timeout.
     *
     * @param fetchesList whether the complete list is requested first
     * @param firstFrameMicros how long to wait for the first frame
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

    /** Starts to connect. The owner is notified if this fails at once. */
    void open(Reactor reactor, InetSocketAddress address) {
        memory = reactor.memory().reservation();
        try {
            connection = Connection.open(reactor, address, this, true);
        } catch (IOException e) {
            fail("connect failed: " + e.getMessage());
        }
    }

    /** Closes the connection without notifying the owner. */
    void close() {
        silenceTimer.cancel();
        if (connection != null) {
            connection.close();
            memory.resize(0);
        }
    }

    // ---- Timeout.

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

    // ---- Requests and responses.

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
            parse(bytes);
        } finally {
            if (connection.isOpen()) {
                memory.resize(parser.heldBytes() + list.size() + decoder.heldBytes());
            }
        }
    }

    private void parse(ByteBuffer bytes) throws BadMessageException {
        try {
            Message response = parser.parse(bytes);
            if (response != null && fetchesList && response.status() == OK) {
                listReceived(response.isKeepAlive());
            } else if (response != null) {
                fail("response status " + response.status());
            }
        } catch (RuntimeException thrown) {
            // A list that is not JSON or does not follow the protocol must not end the event
            // loop.
            fail("invalid response: " + thrown.getMessage());
        }
    }

    /**
     * The complete list has been received. Changes are requested on the same connection if it stays
     * open.
     */
    private void listReceived(boolean staysOpen) {
        owner.completeList(parseList(list.toString(StandardCharsets.UTF_8)));
        list = new ByteArrayOutputStream(); // Frees the buffer of a long list.
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
            throw new IllegalArgumentException("list exceeds the size limit");
        }
    }

    private static WorkerList parseList(String text) {
        return WorkerList.of(JsonReader.read(text).asObject());
    }

    @Override
    public void heartbeat() {
        frameReceived();
    }

    @Override
    public void object(String json) {
        WorkerList update = parseList(json);
        frameReceived();
        owner.changes(this, update);
    }

    // ---- End of the connection.

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
                fail("invalid response: " + thrown.getMessage());
            }
        }
    }

    @Override
    public void badMessage(Connection source, BadMessageException thrown) {
        fail("invalid HTTP: " + thrown.getMessage());
    }

    @Override
    public void closed(Connection source) {
        fail("closed");
    }
}
