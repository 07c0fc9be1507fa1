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
final class Meeting {

    private static final Logger LOG = LoggerFactory.getLogger(Meeting.class);

    /**
     * A peer under load on a small part of a core may need as long; the new process is due within 6
     * s.
     */
    static final long STATE_MILLIS = 2_500;

    /** A link that broke before the peer had told is made again so often, while there is time. */
    private static final long AGAIN_MILLIS = 50;

    private final UpgradeCoordinator up;

    Meeting(UpgradeCoordinator up) {
        this.up = up;
    }

    /** Its link is among the peers from then on, if somebody listens there. */
    void connect(Path file) {
        JsonObject hello =
                Json.object()
                        .add("hello", UpgradeCoordinator.FORM)
                        .add("id", up.id)
                        .add("dispatcher", up.dispatcher);
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open(UnixDomainSocketAddress.of(file));
            channel.configureBlocking(false);
            Peer p = new Peer(up, channel, file);
            up.peers.add(p);
            p.send(hello);
        } catch (IOException | RuntimeException e) {
            try {
                // Guards against what a killed process leaves: nobody listens there, and nobody
                // will under this name.
                Files.deleteIfExists(file);
                if (channel != null) {
                    channel.close();
                }
            } catch (IOException left) {
                LOG.debug("could not remove a link that is not in use", left);
            }
        }
    }

    /**
     * Until all have told or time is up. A peer whose link has broken before it told may live: a
     * process that serves and is not linked with would hold the address, and this one could not
     * listen beside it. Where nobody is, connecting fails.
     */
    void await() {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STATE_MILLIS);
        List<Path> broken = new ArrayList<>();
        try (Selector selector = Selector.open()) {
            while (!broken.isEmpty() || up.peers.stream().anyMatch(p -> p.state == null)) {
                for (Peer p : up.peers) {
                    if (p.channel.keyFor(selector) == null) {
                        p.channel.register(selector, SelectionKey.OP_READ, p);
                    }
                }
                long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
                if (left <= 0) {
                    // Counted, as one is that is silent: it may live and hold the address.
                    broken.forEach(this::connect);
                    break;
                }
                boolean heard =
                        selector.select(broken.isEmpty() ? left : Math.min(left, AGAIN_MILLIS)) > 0;
                for (SelectionKey key : selector.selectedKeys()) {
                    read((Peer) key.attachment(), broken);
                }
                selector.selectedKeys().clear();
                if (!heard) {
                    broken.forEach(this::connect);
                    broken.clear();
                }
            }
        } catch (IOException e) {
            LOG.debug("waiting for a peer's state was cut short", e);
        }
    }

    private static void read(Peer p, List<Path> broken) {
        try {
            p.read();
        } catch (IOException | RuntimeException e) {
            p.lost(e);
        }
        if (!p.open && p.state == null) {
            broken.add(p.file);
        }
    }
}
