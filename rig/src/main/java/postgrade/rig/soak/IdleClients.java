package postgrade.rig.soak;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Connections to dispatchers that say nothing and stay until their other side ends them. */
final class IdleClients implements Closeable {

    private static final long POLL_MILLIS = 20;

    private final List<SocketChannel> connections = new ArrayList<>();

    /** Opens so many to each; one that is refused is left out. */
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
            // The dispatcher is down, and one idle client fewer is left.
        }
    }

    /** Waits until so many have come up; returns how many have by then. */
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
