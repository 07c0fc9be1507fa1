package postgrade.upgrade;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * How a new process comes to its links with those that run, and waits for what they tell. Before
 * the loop runs.
 */
final class JoinHandshake {

    private static final Logger LOG = LoggerFactory.getLogger(JoinHandshake.class);

    /**
     * A peer under load on a small part of a core may need as long; the new process is due within 6
     * s.
     */
    static final long STATE_TIMEOUT_MILLIS = 2_500;

    /** A link that broke before the peer had told is made again so often, while there is time. */
    private static final long RECONNECT_MILLIS = 50;

    private final UpgradeCoordinator coordinator;

    JoinHandshake(UpgradeCoordinator coordinator) {
        this.coordinator = coordinator;
    }

    /** Its link is among the peers from then on, if somebody listens there. */
    void connect(Path file) {
        JsonObject hello =
                Json.object()
                        .add("hello", UpgradeCoordinator.PROTOCOL_VERSION)
                        .add("id", coordinator.id)
                        .add("dispatcher", coordinator.dispatcher);
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open(UnixDomainSocketAddress.of(file));
            channel.configureBlocking(false);
            PeerLink peer = new PeerLink(coordinator, channel, file);
            coordinator.peers.add(peer);
            peer.send(hello);
        } catch (IOException | RuntimeException e) {
            try {
                // Guards against what a killed process leaves: nobody listens there, and nobody
                // will under this name.
                Files.deleteIfExists(file);
                if (channel != null) {
                    channel.close();
                }
            } catch (IOException cleanupFailure) {
                LOG.debug("could not remove a link that is not in use", cleanupFailure);
            }
        }
    }

    /**
     * Until all have told or time is up. A peer whose link has broken before it told may live: a
     * process that serves and is not linked with would hold the address, and this one could not
     * listen beside it. Where nobody is, connecting fails.
     */
    void awaitStates() {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STATE_TIMEOUT_MILLIS);
        List<Path> broken = new ArrayList<>();
        try (Selector selector = Selector.open()) {
            while (!broken.isEmpty()
                    || coordinator.peers.stream().anyMatch(peer -> peer.state == null)) {
                for (PeerLink peer : coordinator.peers) {
                    if (peer.channel.keyFor(selector) == null) {
                        peer.channel.register(selector, SelectionKey.OP_READ, peer);
                    }
                }
                long remainingMillis = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
                if (remainingMillis <= 0) {
                    // Counted, as one is that is silent: it may live and hold the address.
                    broken.forEach(this::connect);
                    break;
                }
                boolean anyReady =
                        selector.select(
                                        broken.isEmpty()
                                                ? remainingMillis
                                                : Math.min(remainingMillis, RECONNECT_MILLIS))
                                > 0;
                for (SelectionKey key : selector.selectedKeys()) {
                    read((PeerLink) key.attachment(), broken);
                }
                selector.selectedKeys().clear();
                if (!anyReady) {
                    broken.forEach(this::connect);
                    broken.clear();
                }
            }
        } catch (IOException e) {
            LOG.debug("waiting for a peer's state was cut short", e);
        }
    }

    private static void read(PeerLink peer, List<Path> broken) {
        try {
            peer.read();
        } catch (IOException | RuntimeException e) {
            peer.disconnected(e);
        }
        if (!peer.open && peer.state == null) {
            broken.add(peer.file);
        }
    }
}
