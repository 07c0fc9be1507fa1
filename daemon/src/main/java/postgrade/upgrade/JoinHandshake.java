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
 * Connects a new process to the running ones and waits for their state. Used before the event loop
 * runs.
 */
final class JoinHandshake {

    private static final Logger LOG = LoggerFactory.getLogger(JoinHandshake.class);

    /**
     * A peer under load with a small share of a core may take this long; the new process has to
     * serve within 6 s.
     */
    static final long STATE_TIMEOUT_MILLIS = 2_500;

    /**
     * Interval at which a link that broke before the peer's state arrived is reconnected, while
     * time is left.
     */
    private static final long RECONNECT_MILLIS = 50;

    private final UpgradeCoordinator coordinator;

    JoinHandshake(UpgradeCoordinator coordinator) {
        this.coordinator = coordinator;
    }

    /**
     * Connects to a process, which counts as a peer from then on. Removes the socket file if no
     * process listens there.
     */
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
                // A killed process leaves its socket file. No process listens there, and none will,
                // as the name is not used again.
                Files.deleteIfExists(file);
                if (channel != null) {
                    channel.close();
                }
            } catch (IOException cleanupFailure) {
                LOG.debug("could not remove an unused socket", cleanupFailure);
            }
        }
    }

    /**
     * Waits until all peers have sent their state or the time is up. A peer whose link broke before
     * that may be alive: it would hold the listen address, and without a link this process could
     * not listen there as well. If the peer is dead, connecting fails.
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
                    // Counts as a peer, like one that does not respond: it may be alive and hold
                    // the address.
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
                    PeerLink peer = (PeerLink) key.attachment();
                    read(peer, broken);
                    if (peer.open && peer.state != null) {
                        key.interestOps(0); // The event loop reads what follows the state.
                    }
                }
                selector.selectedKeys().clear();
                if (!anyReady) {
                    broken.forEach(this::connect);
                    broken.clear();
                }
            }
        } catch (IOException e) {
            LOG.debug("could not wait for the state of the peers", e);
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
