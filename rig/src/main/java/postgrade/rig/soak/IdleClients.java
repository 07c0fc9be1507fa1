package postgrade.rig.soak;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** Connections to dispatchers that say nothing and stay until their other side ends them. */
final class IdleClients implements Closeable {

    private final List<SocketChannel> connections = new ArrayList<>();

    /** Opens so many to each; one that is refused or not taken is left out. */
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

    @Override
    public void close() throws IOException {
        for (SocketChannel connection : connections) {
            Socket socket = connection.socket();
            socket.close();
        }
    }
}
