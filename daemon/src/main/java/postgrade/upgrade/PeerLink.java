package postgrade.upgrade;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.http.MemoryBudget;
import postgrade.http.Reactor;
import postgrade.json.JsonReader;
import postgrade.log.Events;

/** The link to another process of this dispatcher. */
final class PeerLink implements Reactor.Handler {

    private static final Logger LOG = LoggerFactory.getLogger(PeerLink.class);

    /** Bounds the time for a peer that sends without end; the system's buffer holds less. */
    private static final int MAX_PENDING_READS = 64;

    private final UpgradeCoordinator coordinator;
    final SocketChannel channel;

    /** The socket that the peer listens on, if this process opened the link; otherwise null. */
    final Path file;

    private final LineCodec lines = new LineCodec();

    /** Requests begun here that wait until earlier messages to the peer are sent. */
    private final BegunAnnouncements begun = new BegunAnnouncements();

    private final MemoryBudget.Reservation memory;
    final List<Long> pendingAcknowledgements = new ArrayList<>();

    /** Messages that came before this process serves, in their order. */
    private final List<JsonObject> deferredMessages = new ArrayList<>();

    private SelectionKey key;
    String id;
    JsonObject state;
    boolean serving;
    boolean stopping;
    boolean open = true;

    PeerLink(UpgradeCoordinator coordinator, SocketChannel channel, Path file) {
        this.coordinator = coordinator;
        this.channel = channel;
        this.file = file;
        memory = coordinator.reactor.memory().reservation();
    }

    void register() {
        try {
            key = coordinator.reactor.register(channel, SelectionKey.OP_READ, this);
            updateInterest();
        } catch (IOException e) {
            disconnected(e);
        }
    }

    void send(JsonObject message) {
        lines.enqueue(message.toString());
        flushQuietly();
    }

    private void flushQuietly() {
        try {
            flush();
        } catch (IOException e) {
            // The read side reports the broken link, so that the owner is not called back from
            // within its own call.
        }
        updateMemory();
    }

    private void updateMemory() {
        memory.resize(open ? lines.heldBytes() + begun.heldBytes() : 0);
    }

    private void flush() throws IOException {
        if (open) {
            lines.writeTo(channel);
            if (lines.allWritten()) {
                begun.drain().forEach(message -> lines.enqueue(message.toString()));
                lines.writeTo(channel);
            }
            updateInterest();
        }
    }

    /**
     * Sends a fingerprint, together with others if the peer is behind with reading. The system has
     * it, and the peer can read it, before the request itself is written.
     */
    void announceBegun(long fingerprint) {
        begun.add(fingerprint);
        flushQuietly();
    }

    private void updateInterest() {
        if (key != null && key.isValid()) {
            key.interestOps(
                    SelectionKey.OP_READ | (lines.allWritten() ? 0 : SelectionKey.OP_WRITE));
        }
    }

    @Override
    public Order order() {
        return Order.FIRST;
    }

    @Override
    public void ready(SelectionKey ready) throws IOException {
        if (ready.isWritable()) {
            flush();
        }
        if (open && ready.isReadable()) {
            try {
                read();
            } catch (RuntimeException e) {
                disconnected(e); // A peer that sends malformed messages must not stop this process.
            }
        }
        updateMemory();
    }

    void read() throws IOException {
        read(coordinator.reactor.readBuffer());
    }

    /** Returns whether there was something to read and the link is open. */
    private boolean read(ByteBuffer in) throws IOException {
        in.clear();
        int count = channel.read(in);
        if (count < 0) {
            disconnected(null);
            return false;
        }
        in.flip();
        for (String line : lines.decode(in)) {
            if (open) {
                receive(JsonReader.read(line).asObject());
            }
        }
        return open && count > 0;
    }

    /** Handles what the peer has sent until now, without waiting for the event loop. */
    void receivePending() {
        ByteBuffer in = coordinator.reactor.acquireBuffer(); // The loop's buffer may be in use.
        try {
            for (int i = 0; i < MAX_PENDING_READS && open && read(in); i++) {
                // What was read has been handled.
            }
        } catch (IOException | RuntimeException e) {
            disconnected(e);
        } finally {
            coordinator.reactor.releaseBuffer(in);
        }
        updateMemory();
    }

    /**
     * Handles a message, or keeps it until this process serves. Until then the owner is not
     * complete, and only the state that it is created from is taken.
     */
    private void receive(JsonObject message) {
        if (coordinator.serving || message.get("state") != null) {
            handle(message);
        } else {
            deferredMessages.add(message);
        }
    }

    /** Handles the messages that came before this process serves. */
    void handleDeferredMessages() {
        try {
            for (JsonObject message : deferredMessages) {
                if (open) {
                    handle(message);
                }
            }
        } catch (RuntimeException e) {
            disconnected(e); // As for a malformed message that comes later.
        }
        deferredMessages.clear();
    }

    private void handle(JsonObject message) {
        if (message.get("hello") != null) {
            if (message.getInt("hello", 0) != UpgradeCoordinator.PROTOCOL_VERSION
                    || !coordinator.dispatcher.equals(message.getString("dispatcher", ""))) {
                throw new IllegalArgumentException(
                        "hello of another dispatcher or another protocol version");
            }
            identified(message.get("id").asString());
            if (open) {
                // Before the state, after which the new process waits for nothing more.
                BegunAnnouncements.messages(coordinator.owner.begunRequests()).forEach(this::send);
                send(
                        Json.object()
                                .add("state", coordinator.owner.snapshot())
                                .add("id", coordinator.id)
                                .add("serving", coordinator.serving)
                                .add("stopping", coordinator.stopping));
                coordinator.owner.peersChanged();
            }
        } else if (message.get(BegunAnnouncements.KEY) != null && (id != null || file != null)) {
            coordinator.owner.begunElsewhere(BegunAnnouncements.fingerprints(message));
        } else if (message.get("state") != null) {
            state = message.get("state").asObject();
            serving = message.getBoolean("serving", false);
            stopping = message.getBoolean("stopping", false);
            identified(message.get("id").asString());
            if (key != null) {
                // The state arrived too late: this process has started without it.
                coordinator.owner.peersChanged();
            }
        } else if (id == null) {
            throw new IllegalArgumentException("message before hello");
        } else if (message.get("ask") != null) {
            handleRelayed(message);
        } else if (message.get("told") != null) {
            coordinator.acknowledgements.complete(this, message.get("told").asLong(), true);
        } else {
            serving |= message.getBoolean("serving", false);
            stopping |= message.getBoolean("stopping", false);
            coordinator.owner.peersChanged();
        }
    }

    /**
     * Handles a call-back or operator call that the peer relays. One that fails is not acknowledged
     * and costs no other message: the link stays.
     */
    private void handleRelayed(JsonObject message) {
        long number = message.get("ask").asLong();
        try {
            if (message.get("event") != null) {
                coordinator.owner.callBackRelayed(
                        message.get("event").asString().getBytes(StandardCharsets.UTF_8));
            } else {
                coordinator.owner.operatorCallRelayed(
                        message.get("call").asString(), message.getString("worker", ""));
            }
        } catch (RuntimeException e) {
            Events.warn(LOG, "upgrade.relayed-failed")
                    .addKeyValue("peer", id)
                    .setCause(e)
                    .log("a message relayed by process " + id + " of this dispatcher failed");
            return;
        }
        send(Json.object().add("told", number));
    }

    /**
     * Records the peer's id. If two links connect the same two processes, the one that the later
     * process opened is kept.
     */
    private void identified(String peerId) {
        id = peerId;
        boolean listed = false;
        for (PeerLink other : new ArrayList<>(coordinator.peers)) {
            if (other != this && peerId.equals(other.id)) {
                boolean thisIsLater = coordinator.id.compareTo(peerId) > 0;
                (file != null == thisIsLater ? other : this).close();
            }
            listed |= other == this;
        }
        if (open && !listed) {
            coordinator.peers.add(this);
        }
        if (open) {
            Events.info(LOG, "upgrade.linked")
                    .addKeyValue("peer", id)
                    .log("linked with process " + id + " of this dispatcher");
        }
    }

    private void close() {
        open = false;
        updateMemory();
        coordinator.peers.remove(this);
        try {
            channel.close();
        } catch (IOException e) {
            LOG.debug("a link could not be closed", e);
        }
        for (Long number : new ArrayList<>(pendingAcknowledgements)) {
            coordinator.acknowledgements.complete(this, number, false);
        }
    }

    /**
     * Closes the link and notifies the owner if the peer was identified.
     *
     * @param cause null if the peer closed the link, as it does when its process exits
     */
    void disconnected(Exception cause) {
        if (!open) {
            return;
        }
        close();
        if (id == null) {
            return;
        }
        Events.info(LOG, "upgrade.unlinked")
                .addKeyValue("peer", id)
                .setCause(cause)
                .log("process " + id + " of this dispatcher is gone");
        if (key != null) {
            coordinator.owner.peersChanged();
        }
    }

    @Override
    public void failed(Exception e) {
        disconnected(e);
    }
}
