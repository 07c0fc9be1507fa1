package postgrade.http;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;

/**
 * One TCP connection on the event loop. Its owner is notified of received bytes and of its end;
 * writes are buffered until they are sent.
 */
public final class Connection implements Reactor.Handler, MemoryBudget.Holder {

    /**
     * The maximum number of reads in one call of {@link #readPending}. The end of the stream lies
     * behind all the bytes that a peer may have sent ahead.
     */
    private static final int MAX_PENDING_READS = 32;

    /** The objects around the bytes of an unsent part. */
    private static final int PART_OVERHEAD_BYTES = 80;

    /** The owner of a connection, which is notified of its events. */
    public interface Owner {
        /** An outgoing connection has been established. */
        default void connected(Connection c) {}

        /** Bytes have been received. Bytes that the owner leaves in the buffer are discarded. */
        void received(Connection c, ByteBuffer bytes) throws BadMessageException;

        /**
         * The peer has closed its side. The connection is closed right after this call, and {@link
         * #closed} follows.
         */
        default void inputEnded(Connection c) {}

        /**
         * The received bytes are not a valid message. The owner may answer, and must make sure that
         * the connection is closed.
         */
        void badMessage(Connection c, BadMessageException e);

        /** The connection has been closed, other than by the owner itself. */
        void closed(Connection c);

        /** The connection was idle and has been closed because sockets are short. */
        default void evicted(Connection c) {
            closed(c);
        }

        /**
         * Returns the bytes that the owner buffers for this connection and can release, estimated
         * with their objects.
         */
        default long heldBytes() {
            return 0;
        }

        /**
         * The process holds too much memory and this connection holds the most of it. The owner
         * releases what it buffers, if it can do so and keep the connection; unsent bytes have been
         * found to be the smaller part.
         *
         * @return whether it did; otherwise the connection is closed
         */
        default boolean releaseMemory(Connection c) {
            return false;
        }
    }

    private final Reactor reactor;
    private final SocketChannel channel;
    private final Owner owner;
    private final boolean highPriority;
    private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();

    /** The lengths of the unsent parts, of which the first may be sent in part. */
    private long queuedBytes;

    /** What the process's memory budget has recorded for this connection. */
    private long recordedBytes;

    private SelectionKey key;
    private boolean connecting;
    private boolean closing;
    private boolean closed;
    private boolean paused;

    private Connection(Reactor reactor, SocketChannel channel, Owner owner, boolean highPriority) {
        this.reactor = reactor;
        this.channel = channel;
        this.owner = owner;
        this.highPriority = highPriority;
    }

    /** Wraps an accepted channel, whose place in the budget has already been acquired. */
    public static Connection accepted(Reactor reactor, SocketChannel channel, Owner owner)
            throws IOException {
        return accepted(reactor, channel, owner, false);
    }

    /**
     * Wraps an accepted channel, whose place in the budget has already been acquired.
     *
     * @param highPriority whether it is served first in each iteration
     */
    public static Connection accepted(
            Reactor reactor, SocketChannel channel, Owner owner, boolean highPriority)
            throws IOException {
        Connection connection = new Connection(reactor, channel, owner, highPriority);
        connection.register(SelectionKey.OP_READ);
        return connection;
    }

    /**
     * Starts to connect.
     *
     * @throws NoSocketException if a local resource is missing or exhausted
     * @throws IOException if the peer's system refuses at once
     */
    public static Connection open(
            Reactor reactor, InetSocketAddress address, Owner owner, boolean highPriority)
            throws IOException {
        if (!reactor.sockets().acquireForConnect(highPriority)) {
            throw new NoSocketException("no free place in the socket budget", null);
        }
        Connection connection = null;
        try {
            connection = new Connection(reactor, reactor.systemCalls().open(), owner, highPriority);
            connection.connecting = true;
            connection.register(SelectionKey.OP_CONNECT);
            // A connection that is established at once is still reported in the next iteration.
            reactor.systemCalls().connect(connection.channel, address);
            return connection;
        } catch (IOException | RuntimeException e) {
            if (connection == null) {
                reactor.sockets().release();
            } else {
                connection.close();
            }
            if (e instanceof ConnectException || e instanceof NoRouteToHostException) {
                throw (IOException) e;
            }
            throw new NoSocketException("connection to " + address + " could not be opened", e);
        }
    }

    private void register(int interest) throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        key = reactor.register(channel, interest, this);
    }

    @Override
    public Order order() {
        return highPriority ? Order.FIRST : Order.NORMAL;
    }

    @Override
    public void ready(SelectionKey ready) throws IOException {
        try {
            serve(ready);
        } finally {
            updateMemory();
        }
    }

    private void serve(SelectionKey ready) throws IOException {
        if (connecting) {
            reactor.systemCalls().finishConnect(channel);
            connecting = false;
            key.interestOps(SelectionKey.OP_READ);
            owner.connected(this);
            if (!closed && !unsent.isEmpty()) {
                flush();
            }
            return;
        }
        if (ready.isWritable()) {
            flush();
        }
        if (!closed && ready.isReadable()) {
            read(reactor.readBuffer());
        }
    }

    /** Returns false if nothing is left to read. */
    private boolean read(ByteBuffer buffer) throws IOException {
        buffer.clear();
        int count = reactor.systemCalls().read(channel, buffer);
        if (count < 0) {
            owner.inputEnded(this);
            closeAndNotify();
        } else if (count > 0 && !closing) {
            buffer.flip();
            try {
                owner.received(this, buffer);
            } catch (BadMessageException e) {
                // Caught here so that it does not reach the event loop. The bytes that follow a
                // bad message cannot be interpreted.
                owner.badMessage(this, e);
            }
        }
        return count > 0 && !closed;
    }

    /**
     * Reads the bytes that are in the socket buffer now, without waiting for the event loop and
     * even if the connection is paused. The owner is notified of them, and of the end of the stream
     * after them. Used before an action that must not rely on an earlier read.
     */
    public void readPending() {
        if (closed || connecting) {
            return;
        }
        ByteBuffer buffer = reactor.acquireBuffer(); // The event loop's buffer may be in use.
        try {
            for (int i = 0; i < MAX_PENDING_READS && read(buffer); i++) {
                // The owner has been given the bytes.
            }
        } catch (IOException | RuntimeException e) {
            failed(e);
        } finally {
            reactor.releaseBuffer(buffer);
            updateMemory();
        }
    }

    /**
     * Returns false if the peer has closed an idle connection, even if the event loop has not
     * processed this yet.
     */
    public boolean isStillOpen() {
        if (closed) {
            return false;
        }
        ByteBuffer buffer = reactor.acquireBuffer(); // The event loop's buffer may be in use.
        try {
            return reactor.systemCalls().read(channel, buffer) == 0;
        } catch (IOException e) {
            return false;
        } finally {
            reactor.releaseBuffer(buffer);
        }
    }

    /**
     * Sends the byte arrays in order, at once or as soon as the peer accepts them. They are not
     * copied.
     */
    public void write(byte[]... parts) {
        if (closed) {
            return;
        }
        boolean wasEmpty = unsent.isEmpty();
        for (byte[] part : parts) {
            unsent.add(ByteBuffer.wrap(part));
            queuedBytes += part.length;
        }
        if (wasEmpty && !connecting) {
            try {
                flush();
            } catch (IOException e) {
                // The bytes stay unsent and the next read reports the failure, so that the owner
                // is not notified inside its own call.
            }
        }
        updateMemory();
    }

    private void flush() throws IOException {
        if (!unsent.isEmpty()) {
            // All parts are sent in one packet if they fit.
            reactor.systemCalls().write(channel, unsent.toArray(new ByteBuffer[0]));
        }
        while (!unsent.isEmpty() && !unsent.peek().hasRemaining()) {
            queuedBytes -= unsent.poll().capacity();
        }
        updateInterest();
        if (unsent.isEmpty() && closing) {
            channel.shutdownOutput();
        }
    }

    private void updateInterest() {
        key.interestOps(
                (paused ? 0 : SelectionKey.OP_READ)
                        | (unsent.isEmpty() ? 0 : SelectionKey.OP_WRITE));
    }

    /** Pauses or resumes reading. While paused, TCP flow control stops the peer. */
    public void setPaused(boolean newPaused) {
        if (paused != newPaused && !closed && !connecting) {
            paused = newPaused;
            updateInterest();
        }
    }

    /**
     * Whether all written bytes, including the last one, have been passed to the operating system.
     */
    public boolean isAllSent() {
        return !connecting && unsent.isEmpty();
    }

    /** Returns the bytes that have been written and not passed to the operating system yet. */
    public long unsentBytes() {
        return unsent.isEmpty() ? 0 : queuedBytes - unsent.peek().position();
    }

    // ---- Memory.

    /** Records in the process's budget what is held for this connection now. */
    public void updateMemory() {
        long heldBytes = closed ? 0 : unsentMemory() + owner.heldBytes();
        if (heldBytes != recordedBytes) {
            recordedBytes = heldBytes;
            reactor.memory().update(this, heldBytes);
        }
    }

    private long unsentMemory() {
        return queuedBytes + (long) unsent.size() * PART_OVERHEAD_BYTES;
    }

    @Override
    public void releaseMemory() {
        boolean released = unsentMemory() <= owner.heldBytes() && owner.releaseMemory(this);
        if (!released && !closed) {
            close();
            owner.evicted(this);
        }
        updateMemory();
    }

    public boolean isOpen() {
        return !closed;
    }

    /**
     * Marks the connection as idle or not. An idle connection may be closed for a new one when
     * sockets are short; those on probation are closed first.
     */
    public void setIdle(boolean isIdle, boolean onProbation) {
        if (!closed) {
            reactor.sockets().updateIdle(this, isIdle, onProbation);
        }
    }

    /**
     * Closes the sending side once all bytes are sent, and the connection when the peer closes its
     * side. A close with unread bytes in the socket buffer would reset the connection, and the peer
     * might lose an answer that it has not read.
     */
    public void closeWhenSent() {
        if (closing || closed) {
            return;
        }
        closing = true;
        try {
            flush();
        } catch (IOException e) {
            // The next read reports the failure.
        }
    }

    public boolean isClosing() {
        return closing;
    }

    @Override
    public void failed(Exception e) {
        closeAndNotify();
    }

    /**
     * Closes an idle connection because sockets are short, and notifies the owner, unless unread
     * bytes show that it is no longer idle. Such a close would lose a request that has just
     * arrived, and would reset the connection, so that the peer might lose the last answer.
     */
    void evict() {
        readPending();
        if (reactor.sockets().isIdle(this)) {
            close();
            owner.evicted(this);
        }
    }

    private void closeAndNotify() {
        if (!closed) {
            close();
            owner.closed(this);
        }
    }

    /** Closes at once, without notifying the owner. */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        updateMemory();
        reactor.sockets().updateIdle(this, false, false);
        reactor.sockets().release();
        try {
            channel.close();
        } catch (IOException e) {
            // Nothing more can be done with a channel whose close fails.
        }
    }
}
