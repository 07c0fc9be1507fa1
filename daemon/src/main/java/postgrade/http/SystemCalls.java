package postgrade.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * The system calls on which the loop and its connections depend. They stand in one place so that
 * tests can make each of them fail, be short or return early; nothing in the configuration replaces
 * them. Called on the loop's thread alone.
 */
public interface SystemCalls {

    /** The system's own. */
    SystemCalls REAL = new SystemCalls() {};

    /**
     * Waits until a channel is ready, at most so long; 0 does not wait, a negative time has no
     * bound.
     */
    default void select(Selector selector, long millis) throws IOException {
        if (millis == 0) {
            selector.selectNow();
        } else if (millis < 0) {
            selector.select();
        } else {
            selector.select(millis);
        }
    }

    /**
     * @return null if no connection waits
     */
    default SocketChannel accept(ServerSocketChannel server) throws IOException {
        return server.accept();
    }

    default SocketChannel open() throws IOException {
        return SocketChannel.open();
    }

    /** Begins to connect a channel that does not block. */
    default void connect(SocketChannel channel, InetSocketAddress to) throws IOException {
        channel.connect(to);
    }

    default void finishConnect(SocketChannel channel) throws IOException {
        channel.finishConnect();
    }

    /**
     * @return the number of bytes read, negative at the peer's end
     */
    default int read(SocketChannel channel, ByteBuffer into) throws IOException {
        return channel.read(into);
    }

    /** Writes as much as the system takes. */
    default void write(SocketChannel channel, ByteBuffer[] parts) throws IOException {
        channel.write(parts);
    }
}
