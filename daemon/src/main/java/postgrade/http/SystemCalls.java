package postgrade.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * The system calls that the event loop and its connections depend on. They are collected here so
 * that tests can make each of them fail, transfer less than asked or return early; no setting
 * replaces them. Called on the event loop thread only.
 */
public interface SystemCalls {

    /** The real system calls. */
    SystemCalls REAL = new SystemCalls() {};

    /**
     * Waits until a channel is ready, at most for the given time; 0 does not wait, and a negative
     * time has no limit.
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
     * Accepts a connection.
     *
     * @return null if no connection is pending
     */
    default SocketChannel accept(ServerSocketChannel server) throws IOException {
        return server.accept();
    }

    default SocketChannel open() throws IOException {
        return SocketChannel.open();
    }

    /** Starts to connect a non-blocking channel. */
    default void connect(SocketChannel channel, InetSocketAddress to) throws IOException {
        channel.connect(to);
    }

    default void finishConnect(SocketChannel channel) throws IOException {
        channel.finishConnect();
    }

    /**
     * Reads into the buffer.
     *
     * @return the number of bytes read, negative at the end of the stream
     */
    default int read(SocketChannel channel, ByteBuffer into) throws IOException {
        return channel.read(into);
    }

    /** Writes as many bytes as the operating system accepts. */
    default void write(SocketChannel channel, ByteBuffer[] parts) throws IOException {
        channel.write(parts);
    }
}
