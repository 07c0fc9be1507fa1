package postgrade.http;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Set;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/**
 * One accepted connection over loopback, which the test reads and closes at chosen moments. No
 * event loop runs.
 */
public class ConnectionTest implements Reactor, Connection.Owner {

    private final SocketBudget sockets = new SocketBudget(10);
    private final MemoryBudget memory = new MemoryBudget();
    private final ByteBuffer loopBuffer = ByteBuffer.allocate(16);
    private final StringBuilder events = new StringBuilder();
    private final ReadBufferPool bufferPool = new ReadBufferPool();
    private ByteBuffer lastBuffer;
    private Selector selector;
    private ServerSocketChannel server;
    private SocketChannel peer;
    private SocketChannel accepted;
    private Connection connection;

    @Before
    public void connect() throws IOException {
        selector = Selector.open();
        server =
                ServerSocketChannel.open()
                        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        peer = SocketChannel.open(server.getLocalAddress());
        accepted = server.accept();
        sockets.acquireForAccept(true);
        connection = Connection.accepted(this, accepted, this);
    }

    @After
    public void close() throws IOException {
        peer.close();
        accepted.close();
        server.close();
        selector.close();
    }

    private void send(String text) throws IOException {
        peer.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
    }

    /** Small writes that the operating system delays would be lost in a reset. */
    @Test
    public void tcpNoDelayIsSet() throws IOException {
        assertTrue(accepted.getOption(StandardSocketOptions.TCP_NODELAY));
    }

    @Test
    public void readPendingReadsAllBytesAndTheEndWhilePaused() throws IOException {
        connection.setPaused(true);
        loopBuffer.put((byte) 7);
        send("x".repeat(20_000));
        peer.close();
        connection.readPending();
        assertEquals("x".repeat(20_000) + " ended closed", events.toString());
        assertFalse(connection.isOpen());
        assertEquals("the event loop's buffer is unchanged", 1, loopBuffer.position());
    }

    @Test
    public void readPendingReportsReset() throws IOException {
        peer.setOption(StandardSocketOptions.SO_LINGER, 0);
        peer.close();
        connection.readPending();
        assertEquals(" closed", events.toString());
    }

    @Test
    public void bytesAfterOurEndAreDiscardedAndThePeersEndIsReported() throws IOException {
        connection.closeWhenSent();
        send("late");
        connection.readPending();
        assertEquals("", events.toString());
        assertTrue(connection.isOpen());
        peer.close();
        connection.readPending();
        assertEquals(" ended closed", events.toString());
    }

    @Test
    public void connectionWithUnreadBytesIsNotEvicted() throws IOException {
        connection.setIdle(true, false);
        send("x");
        connection.evict();
        assertTrue(connection.isOpen());
        connection.setIdle(true, false);
        connection.evict();
        assertFalse(connection.isOpen());
    }

    /**
     * A pending read notifies an owner of bytes, and the owner reads from another connection before
     * it consumes them.
     */
    @Test
    public void nestedPendingReadsDoNotShareBuffers() throws IOException {
        Set<ByteBuffer> buffers = Collections.newSetFromMap(new IdentityHashMap<>());
        StringBuilder inner = new StringBuilder();
        Connection[] chain = new Connection[6]; // Deeper than the number of pooled buffers.
        SocketChannel[] peers = new SocketChannel[chain.length];
        for (int i = 0; i < chain.length; i++) {
            int next = i + 1;
            peers[i] = SocketChannel.open(server.getLocalAddress());
            sockets.acquireForAccept(true);
            chain[i] =
                    Connection.accepted(
                            this,
                            server.accept(),
                            new Connection.Owner() {
                                @Override
                                public void received(Connection c, ByteBuffer bytes) {
                                    buffers.add(bytes);
                                    if (next < chain.length) {
                                        chain[next].readPending();
                                        assertTrue(chain[next].isStillOpen());
                                    }
                                    inner.append(StandardCharsets.ISO_8859_1.decode(bytes))
                                            .append(' ');
                                }

                                @Override
                                public void badMessage(Connection c, BadMessageException e) {
                                    throw new AssertionError(e);
                                }

                                @Override
                                public void closed(Connection c) {
                                    inner.append("closed ");
                                }
                            });
        }
        for (int round = 0; round < 2; round++) { // With new buffers, then with released ones.
            for (int i = 0; i < chain.length; i++) {
                peers[i].write(ByteBuffer.wrap(("of " + i).getBytes(StandardCharsets.ISO_8859_1)));
            }
            buffers.clear();
            inner.setLength(0);
            chain[0].readPending();
            assertEquals("of 5 of 4 of 3 of 2 of 1 of 0 ", inner.toString());
            assertEquals("each read has its own buffer", chain.length, buffers.size());
        }
        send("one read after another");
        connection.readPending();
        assertEquals("one read after another", events.toString());
        assertTrue("the buffer is reused", buffers.contains(lastBuffer));
        for (SocketChannel p : peers) {
            p.close();
        }
    }

    // ---- The connection's owner.

    @Override
    public void received(Connection c, ByteBuffer bytes) {
        c.setIdle(false, false);
        lastBuffer = bytes;
        events.append(StandardCharsets.ISO_8859_1.decode(bytes));
    }

    @Override
    public void inputEnded(Connection c) {
        events.append(" ended");
    }

    @Override
    public void badMessage(Connection c, BadMessageException e) {
        throw new AssertionError(e);
    }

    @Override
    public void closed(Connection c) {
        events.append(" closed");
    }

    // ---- The event loop.

    @Override
    public SelectionKey register(SelectableChannel channel, int interest, Handler handler)
            throws IOException {
        return channel.register(selector, interest, handler);
    }

    @Override
    public ByteBuffer readBuffer() {
        return loopBuffer;
    }

    @Override
    public ByteBuffer acquireBuffer() {
        return bufferPool.acquire();
    }

    @Override
    public void releaseBuffer(ByteBuffer lent) {
        bufferPool.release(lent);
    }

    @Override
    public MemoryBudget memory() {
        return memory;
    }

    @Override
    public SocketBudget sockets() {
        return sockets;
    }
}
