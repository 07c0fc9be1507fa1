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
 * The link between the processes of one dispatcher while a new version takes the place of an old
 * one. Each listens on a Unix-domain socket of its own name in a folder that they share; a new one
 * connects to all it finds there and takes over what they know before it listens for consumers.
 * From then on either passes on what came to it and is the other's.
 *
 * <p>Without such a folder, or where the platform refuses such sockets, there is no link and
 * nothing else is lost.
 */
public final class UpgradeCoordinator implements Reactor.Handler {

    private static final Logger LOG = LoggerFactory.getLogger(UpgradeCoordinator.class);
    static final int PROTOCOL_VERSION = 1;
    private static final String LINK_SUFFIX = ".link";
    private static final long ID_OFFSET_MILLIS = 500_000_000_000_000L;

    /** Guards the descriptors: an upgrade has one peer, one that follows at once two. */
    private static final int MAX_PEERS = 4;

    /** Whose link it is. All is called on the loop's thread. */
    public interface Owner {
        /** What a new process is to know. */
        JsonObject snapshot();

        /** A worker's call-back that came to a peer and whose job may be ours. */
        void callBackRelayed(byte[] body);

        /** An operator's call that came to a peer and was carried out there. */
        void operatorCallRelayed(String call, String workerId);

        /** A peer has come, begun to serve, begun to stop, or gone. */
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
    private ServerSocketChannel server;
    private Path socketFile;
    boolean serving;
    boolean stopping;

    /**
     * @param folder that the processes of one dispatcher share, or null for no link
     * @param dispatcher whose processes belong together: its name and address
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
     * Comparable by the time since the machine started, which no step of its wall clock turns
     * round; of one millisecond the process number decides. Earlier versions took Unix time: theirs
     * come before all of ours.
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
            // Guards the start: where the platform has no such sockets the dispatcher serves as
            // well.
            Events.info(LOG, "upgrade.no-link")
                    .addKeyValue("why", String.valueOf(e.getMessage()))
                    .log(
                            "no link for upgrades ("
                                    + e.getMessage()
                                    + "); a new version would need a restart");
            close();
            server = null;
        }
    }

    // ---- A new process finds those before it.

    /**
     * Connects to the processes that run already and waits for what they know. Returns it of the
     * latest that answered in time, or null. To be called before the loop runs.
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
                    .log("could not look for a process to take over from");
        }
        PeerLink latest = null;
        if (peers.isEmpty()) {
            handoverFile
                    .delete(); // A plain start: what operators said goes with the process that they
            // said it to.
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
     * What a process has left that was there when this one began and died before it could tell;
     * null where none did.
     */
    public JsonObject readHandoverFile() {
        return foundPeers ? handoverFile.read() : null;
    }

    /** Keeps what a new process has to know even if this one dies before it can tell. */
    public void writeHandoverFile(JsonObject content) {
        handoverFile.write(content);
    }

    // ---- Who is there.

    /** This process listens for consumers. */
    public void announceServing() {
        serving = true;
        broadcast(Json.object().add("serving", true));
    }

    /** This process is to end. */
    public void announceStopping() {
        stopping = true;
        broadcast(Json.object().add("stopping", true));
    }

    /**
     * Another process serves and is not to end: it takes the consumers. An upgrade undone leaves
     * them to the old one.
     */
    public boolean hasSuccessor() {
        return peers.stream().anyMatch(peer -> peer.serving && !peer.stopping);
    }

    /** Processes of this dispatcher that are linked to this one. */
    public int peerCount() {
        return peers.size();
    }

    private void broadcast(JsonObject message) {
        for (PeerLink peer : new ArrayList<>(peers)) {
            peer.send(message);
        }
    }

    // ---- Passing on.

    /**
     * Hands a call-back to whoever holds its job. True once all others have looked at it, false if
     * one did not answer in time.
     */
    public void relayCallBack(byte[] body, Consumer<Boolean> done) {
        acknowledgements.sendToAll(
                Json.object().add("event", new String(body, StandardCharsets.UTF_8)), done);
    }

    /** Tells the others of an operator's call that was carried out here. */
    public void relayOperatorCall(String call, String workerId, Consumer<Boolean> done) {
        acknowledgements.sendToAll(
                Json.object().add("call", call).add("worker", workerId == null ? "" : workerId),
                done);
    }

    // ---- The listener's side.

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
            channel.close(); // Guards the descriptors against whoever else finds the socket.
            return;
        }
        channel.configureBlocking(false);
        PeerLink peer = new PeerLink(this, channel, null);
        peer.register();
        // As long as it waits for what we know: a process that starts on a full machine may be held
        // up in between.
        timers.at(
                timers.nowMicros() + JoinHandshake.STATE_TIMEOUT_MILLIS * 1000,
                () -> {
                    if (peer.id == null) {
                        peer.disconnected(new IOException("said nothing"));
                    }
                });
    }

    @Override
    public void failed(Exception e) {
        LOG.debug("accept of a link failed", e);
    }

    /** The process ends: its name goes, so that nobody looks for it. */
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
            LOG.debug("could not remove the link", e);
        }
    }
}
