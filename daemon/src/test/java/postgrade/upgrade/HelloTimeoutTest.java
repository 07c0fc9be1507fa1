package postgrade.upgrade;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import org.junit.rules.Timeout;
import postgrade.dispatch.Timers;
import postgrade.http.MemoryBudget;
import postgrade.http.Reactor;
import postgrade.http.SocketBudget;

/**
 * A process that connects and is delayed before it sends its hello, with time advanced by the test.
 */
public class HelloTimeoutTest implements Reactor, Timers, UpgradeCoordinator.Owner {

    private record Task(long atMicros, Runnable action) {}

    /** Without it, reading from a link that is never closed would block for ever. */
    @Rule public final Timeout timeout = Timeout.seconds(30);

    @Rule public final TemporaryFolder folder = new TemporaryFolder();
    private final ByteBuffer buffer = ByteBuffer.allocate(64 << 10);
    private final MemoryBudget memory = new MemoryBudget();
    private final List<Task> tasks = new ArrayList<>();
    private Selector selector;
    private long nowMicros;
    private UpgradeCoordinator oldProcess;
    private SocketChannel connection;

    @Before
    public void connectToListeningProcess() throws IOException {
        selector = Selector.open();
        oldProcess = new UpgradeCoordinator(folder.getRoot().toPath(), "n1 here", this, this, this);
        oldProcess.announceServing();
        try (var files = Files.list(folder.getRoot().toPath())) {
            Path link = files.filter(f -> f.toString().endsWith(".link")).findFirst().orElseThrow();
            connection = SocketChannel.open(UnixDomainSocketAddress.of(link));
        }
        pollUntil(() -> !tasks.isEmpty());
    }

    @After
    public void close() throws IOException {
        connection.close();
        oldProcess.close();
        selector.close();
    }

    private void pollUntil(BooleanSupplier condition) throws IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            assertTrue("condition met in time", System.nanoTime() < end);
            selector.select(20);
            for (SelectionKey key : selector.selectedKeys()) {
                ((Handler) key.attachment()).ready(key);
            }
            selector.selectedKeys().clear();
        }
    }

    private void advance(long micros) {
        nowMicros += micros;
        for (Task t : new ArrayList<>(tasks)) {
            if (t.atMicros <= nowMicros) {
                tasks.remove(t);
                t.action.run();
            }
        }
    }

    /** As after a second in which the new process got no CPU time. */
    @Test
    public void aLateHelloWithinTheTimeoutIsAnsweredWithState() throws IOException {
        advance(2_400_000);
        connection.write(
                ByteBuffer.wrap(
                        "{\"hello\":1,\"id\":\"x\",\"dispatcher\":\"n1 here\"}\n"
                                .getBytes(StandardCharsets.UTF_8)));
        pollUntil(() -> oldProcess.peerCount() == 1);
        ByteBuffer state = ByteBuffer.allocate(1000);
        assertTrue(connection.read(state) > 0);
        String message = new String(state.array(), 0, state.position(), StandardCharsets.UTF_8);
        assertEquals(
                message,
                "as it is",
                Json.parse(message.strip())
                        .asObject()
                        .get("state")
                        .asObject()
                        .getString("what", ""));
        advance(10_000_000);
        assertEquals("the link is kept", 1, oldProcess.peerCount());
    }

    @Test
    public void aConnectionWithoutHelloIsClosed() throws IOException {
        advance(2_600_000);
        assertEquals(-1, connection.read(ByteBuffer.allocate(1)));
        assertEquals(0, oldProcess.peerCount());
    }

    // ---- The event loop, driven by the test, and the state of the process.

    @Override
    public SelectionKey register(SelectableChannel channel, int interest, Handler handler)
            throws IOException {
        return channel.register(selector, interest, handler);
    }

    @Override
    public ByteBuffer readBuffer() {
        return buffer;
    }

    @Override
    public MemoryBudget memory() {
        return memory;
    }

    @Override
    public SocketBudget sockets() {
        throw new UnsupportedOperationException();
    }

    @Override
    public long nowMicros() {
        return nowMicros;
    }

    @Override
    public Timer at(long whenMicros, Runnable action) {
        Task t = new Task(whenMicros, action);
        tasks.add(t);
        return () -> tasks.remove(t);
    }

    @Override
    public JsonObject snapshot() {
        return Json.object().add("what", "as it is");
    }

    @Override
    public void callBackRelayed(byte[] body) {}

    @Override
    public void operatorCallRelayed(String call, String id) {}

    @Override
    public void peersChanged() {}
}
