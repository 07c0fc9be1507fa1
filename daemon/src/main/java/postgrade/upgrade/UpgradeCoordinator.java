package postgrade.upgrade;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.dispatch.Timers;
import postgrade.http.Reactor;
import postgrade.log.Events;

/**
 * Links the processes of one dispatcher while a new version replaces the old one. Each process
 * listens on a Unix-domain socket of its own in a shared directory. A new process connects to all
 * sockets that it finds there and takes over the state of the running ones before it listens for
 * clients. From then on each process forwards to the others what may concern them, such as
 * call-backs and operator calls.
 *
 * <p>Without a shared directory, or if the platform refuses such sockets, there is no link; the
 * dispatcher works otherwise without restrictions.
 */
public final class UpgradeCoordinator implements Reactor.Handler {

    private static final Logger LOG = LoggerFactory.getLogger(UpgradeCoordinator.class);
    static final int PROTOCOL_VERSION = 1;
    private static final String LINK_SUFFIX = ".link";
    private static final long ID_OFFSET_MILLIS = 500_000_000_000_000L;

    /**
     * Bounds the descriptors: an upgrade has one peer, or two if another upgrade follows at once.
     */
    private static final int MAX_PEERS = 4;

    /**
     * The process that the links belong to. Called on the event loop's thread, and not before
     * {@link #announceServing}.
     */
    public interface Owner {
        /** Returns the state for a new process. */
        JsonObject snapshot();

        /** Returns the fingerprints of the requests that a new process must not begin. */
        default long[] begunRequests() {
            return new long[0];
        }

        /** A peer has begun the requests with these fingerprints. */
        default void begunElsewhere(long[] fingerprints) {}

        /**
         * Handles a worker's call-back that a peer received and whose job may belong to this
         * process.
         */
        void callBackRelayed(byte[] body);

        /** Handles an operator call that a peer received and has carried out. */
        void operatorCallRelayed(String call, String workerId);

        /** Called when a peer has connected, started to serve, started to stop, or disconnected. */
        void peersChanged();
    }

    final String dispatcher;
    final String id;
    private final Path directory;
    final Reactor reactor;
    final Timers timers;
    final Owner owner;
    final List<PeerLink> peers = new ArrayList<>();
    final AcknowledgementTracker acknowledgements = new AcknowledgementTracker(this);
    private final JoinHandshake handshake = new JoinHandshake(this);
    private final HandoverFile handoverFile;
    private boolean foundPeers;
    private boolean receiving;
    private ServerSocketChannel server;
    private Path socketFile;
    boolean serving;
    boolean stopping;

    /**
     * Creates the coordinator and listens for other processes.
     *
     * @param directory shared by the processes of one dispatcher, or null for no link
     * @param dispatcher identifies the processes that belong together: its name and address
     */
    public UpgradeCoordinator(
            Path directory, String dispatcher, Reactor reactor, Timers timers, Owner owner) {
        this.directory = directory;
        this.dispatcher = dispatcher;
        this.reactor = reactor;
        this.timers = timers;
        this.owner = owner;
        id = processId(System.nanoTime(), ProcessHandle.current().pid());
        handoverFile =
                new HandoverFile(directory == null ? null : directory.resolve(prefix() + "left"));
        if (directory != null) {
            listen();
        }
    }

    /**
     * Returns an id that sorts by the time since the machine's boot, which steps of the wall clock
     * do not affect; within one millisecond the process number decides. Earlier versions used Unix
     * time: their ids sort before those of this version.
     */
    static String processId(long machineNanos, long processNumber) {
        return String.format(
                Locale.ROOT,
                "%015d-%010d",
                ID_OFFSET_MILLIS + machineNanos / 1_000_000,
                processNumber);
    }

    private String prefix() {
        return "pg-" + Integer.toHexString(dispatcher.hashCode()) + "-";
    }

    private void listen() {
        socketFile = directory.resolve(prefix() + id + LINK_SUFFIX);
        try {
            server = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
            server.bind(UnixDomainSocketAddress.of(socketFile));
            server.configureBlocking(false);
            reactor.register(server, SelectionKey.OP_ACCEPT, this);
        } catch (IOException | RuntimeException e) {
            // If the platform has no such sockets, the dispatcher starts without a link.
            Events.info(LOG, "upgrade.no-link")
                    .addKeyValue("why", String.valueOf(e.getMessage()))
                    .log(
                            "no link for upgrades ("
                                    + e.getMessage()
                                    + "); a new version requires a restart");
            close();
            server = null;
        }
    }

    // ---- A new process joins the running ones.

    /**
     * Connects to the running processes and waits for their state. Returns the state of the latest
     * process that answered in time, or null. Must be called before the event loop runs.
     */
    public JsonObject join() {
        if (server == null) {
            return null;
        }
        try (DirectoryStream<Path> files =
                Files.newDirectoryStream(directory, prefix() + "*" + LINK_SUFFIX)) {
            for (Path file : files) {
                if (!file.equals(socketFile) && peers.size() < MAX_PEERS) {
                    handshake.connect(file);
                }
            }
        } catch (IOException | RuntimeException e) {
            Events.warn(LOG, "upgrade.not-looked")
                    .setCause(e)
                    .log("could not search for running processes of this dispatcher");
        }
        PeerLink latest = null;
        if (peers.isEmpty()) {
            // No process is running: operators' overrides end with the process that they were made
            // in.
            handoverFile.delete();
        } else {
            foundPeers = true;
            handshake.awaitStates();
        }
        for (PeerLink peer : new ArrayList<>(peers)) {
            peer.register();
            latest =
                    peer.state != null && (latest == null || peer.id.compareTo(latest.id) > 0)
                            ? peer
                            : latest;
        }
        return latest == null ? null : latest.state;
    }

    /**
     * Returns the content of the hand-over file left by a process that was running when this one
     * started and died before it sent its state; null if there is none.
     */
    public JsonObject readHandoverFile() {
        return foundPeers ? handoverFile.read() : null;
    }

    /** Keeps state for a new process in case this one dies before it can send it. */
    public void writeHandoverFile(JsonObject content) {
        handoverFile.write(content);
    }

    // ---- State of the processes.

    /**
     * Announces that this process listens for clients. From now on the owner must be able to handle
     * messages; those that came together with the state of a peer are handled first.
     */
    public void announceServing() {
        serving = true;
        for (PeerLink peer : new ArrayList<>(peers)) {
            peer.handleDeferredMessages();
        }
        broadcast(Json.object().add("serving", true));
    }

    /** Announces that this process is stopping. */
    public void announceStopping() {
        stopping = true;
        broadcast(Json.object().add("stopping", true));
    }

    /**
     * Whether another process serves and is not stopping, so that it can take the clients. If an
     * upgrade is rolled back, the old process keeps them.
     */
    public boolean hasSuccessor() {
        return peers.stream().anyMatch(peer -> peer.serving && !peer.stopping);
    }

    /** Returns the number of processes linked to this one. */
    public int peerCount() {
        return peers.size();
    }

    private void broadcast(JsonObject message) {
        for (PeerLink peer : new ArrayList<>(peers)) {
            peer.send(message);
        }
    }

    // ---- Messages to the other processes.

    /** Announces that this process writes a request with this fingerprint to a worker. */
    public void announceBegun(long fingerprint) {
        for (PeerLink peer : new ArrayList<>(peers)) {
            peer.announceBegun(fingerprint);
        }
    }

    /** Handles what the peers have sent until now. Does nothing within itself. */
    public void receivePending() {
        if (peers.isEmpty() || receiving) {
            return;
        }
        receiving = true;
        try {
            for (PeerLink peer : new ArrayList<>(peers)) {
                peer.receivePending();
            }
        } finally {
            receiving = false;
        }
    }

    /**
     * Forwards a call-back to the process that owns its job. The callback gets true once all others
     * have handled it, false if one did not acknowledge in time.
     */
    public void relayCallBack(byte[] body, Consumer<Boolean> done) {
        acknowledgements.sendToAll(
                Json.object().add("event", new String(body, StandardCharsets.UTF_8)), done);
    }

    /** Notifies the other processes of an operator call that was carried out here. */
    public void relayOperatorCall(String call, String workerId, Consumer<Boolean> done) {
        acknowledgements.sendToAll(
                Json.object().add("call", call).add("worker", workerId == null ? "" : workerId),
                done);
    }

    // ---- Incoming links.

    @Override
    public Order order() {
        return Order.FIRST;
    }

    @Override
    public void ready(SelectionKey key) throws IOException {
        SocketChannel channel = server.accept();
        if (channel == null) {
            return;
        }
        if (peers.size() >= MAX_PEERS) {
            channel.close(); // Bounds the descriptors, whoever else may find the socket.
            return;
        }
        channel.configureBlocking(false);
        PeerLink peer = new PeerLink(this, channel, null);
        peer.register();
        // As long as the peer waits for the state: on a machine under load it may be delayed
        // between connecting and its hello.
        timers.at(
                timers.nowMicros() + JoinHandshake.STATE_TIMEOUT_MILLIS * 1000,
                () -> {
                    if (peer.id == null) {
                        peer.disconnected(new IOException("no hello within the time limit"));
                    }
                });
    }

    @Override
    public void failed(Exception e) {
        LOG.debug("could not accept a link", e);
    }

    /** Removes the socket when the process exits, so that no other process tries to connect. */
    public void close() {
        try {
            if (server != null) {
                server.close();
            }
            if (socketFile != null) {
                Files.deleteIfExists(socketFile);
            }
            if (peers.isEmpty()) {
                handoverFile.delete();
            }
        } catch (IOException e) {
            LOG.debug("could not remove the socket", e);
        }
    }
}
