package postgrade.rig.soak;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Silent connections to dispatchers that stay open until the peer closes them. */
final class IdleClients implements Closeable {

    private static final long POLL_MILLIS = 20;

    private final List<SocketChannel> connections = new ArrayList<>();

    /** Opens this many connections to each dispatcher; one that is refused is left out. */
    void open(List<InetSocketAddress> dispatchers, int each) {
        for (InetSocketAddress dispatcher : dispatchers) {
            for (int i = 0; i < each; i++) {
                open(dispatcher);
            }
        }
    }

    private void open(InetSocketAddress dispatcher) {
        try {
            SocketChannel connection = SocketChannel.open();
            connections.add(connection);
            connection.configureBlocking(false);
            connection.connect(dispatcher);
        } catch (IOException e) {
            // The dispatcher is down; there is one idle client fewer.
        }
    }

    /** Waits until this many are established; returns the number established by then. */
    long awaitConnected(long wanted, long withinMillis) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMillis);
        long connected = connectedCount();
        while (connected < wanted && System.nanoTime() < deadlineNanos) {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            connected = connectedCount();
        }
        return connected;
    }

    private long connectedCount() {
        return connections.stream().filter(IdleClients::isConnected).count();
    }

    private static boolean isConnected(SocketChannel connection) {
        try {
            return connection.isOpen() && connection.finishConnect();
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        for (SocketChannel connection : connections) {
            Socket socket = connection.socket();
            socket.close();
        }
    }
}
