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
 * One TCP connection on the loop. Its owner hears what comes in and when it ends; writes are kept
 * until sent.
 */
public final class Connection implements Reactor.Handler {

    /** So often at most a look reads on: an end may lie behind all that a peer may send ahead. */
    private static final int MAX_PENDING_READS = 32;

    /** Who owns the connection. */
    public interface Owner {
        /** A connect of ours has come up. */
        default void connected(Connection c) {}

        /** Bytes have come; what the owner leaves in the buffer is lost. */
        void received(Connection c, ByteBuffer bytes) throws BadMessageException;

        /**
         * The peer has ended its side. The connection is closed right after, and {@link #closed}
         * follows.
         */
        default void inputEnded(Connection c) {}

        /**
         * What came is not a message. The owner may answer, and must see to it that the connection
         * is closed.
         */
        void badMessage(Connection c, BadMessageException e);

        /** The connection is gone, unless the owner closed it itself. */
        void closed(Connection c);
    }

    private final Reactor reactor;
    private final SocketChannel channel;
    private final Owner owner;
    private final boolean highPriority;
    private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();
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

    /** Wraps an accepted channel, whose place in the budget is taken already. */
    public static Connection accepted(Reactor reactor, SocketChannel channel, Owner owner)
            throws IOException {
        return accepted(reactor, channel, owner, false);
    }

    /**
     * @param urgent served first in a turn
     */
    public static Connection accepted(
            Reactor reactor, SocketChannel channel, Owner owner, boolean highPriority)
            throws IOException {
        Connection connection = new Connection(reactor, channel, owner, highPriority);
        connection.register(SelectionKey.OP_READ);
        return connection;
    }

    /**
     * Begins to connect.
     *
     * @throws NoSocketException if it is for want of something of ours
     * @throws IOException if the peer's system refuses at once
     */
    public static Connection open(
            Reactor reactor, InetSocketAddress address, Owner owner, boolean highPriority)
            throws IOException {
        if (!reactor.sockets().acquireForConnect(highPriority)) {
            throw new NoSocketException("every socket is in use", null);
        }
        Connection connection = null;
        try {
            connection = new Connection(reactor, reactor.systemCalls().open(), owner, highPriority);
            connection.connecting = true;
            connection.register(SelectionKey.OP_CONNECT);
            reactor.systemCalls()
                    .connect(
                            connection.channel,
                            address); // Also one that comes up at once is told of in the next turn.
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
            throw new NoSocketException("no connection to " + address + " could be begun", e);
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

    /** False if nothing is left to read. */
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
                // Guards the loop and the peer's next bytes: nothing after a bad message can be
                // made sense of.
                owner.badMessage(this, e);
            }
        }
        return count > 0 && !closed;
    }

    /**
     * Reads what lies in the socket by now, though the loop has not come to it or the connection is
     * paused: the owner hears of it, and of the end behind it. Guards what is about to be done on
     * the word of an older look.
     */
    public void readPending() {
        if (closed || connecting) {
            return;
        }
        ByteBuffer buffer = reactor.acquireBuffer(); // The loop's buffer may be in use.
        try {
            for (int i = 0; i < MAX_PENDING_READS && read(buffer); i++) {
                // What has been read is the owner's.
            }
        } catch (IOException | RuntimeException e) {
            failed(e);
        } finally {
            reactor.releaseBuffer(buffer);
        }
    }

    /** False if the peer has closed an idle connection, though the loop has not come to it yet. */
    public boolean isStillOpen() {
        if (closed) {
            return false;
        }
        ByteBuffer buffer = reactor.acquireBuffer(); // The loop's buffer may be in use.
        try {
            return reactor.systemCalls().read(channel, buffer) == 0;
        } catch (IOException e) {
            return false;
        } finally {
            reactor.releaseBuffer(buffer);
        }
    }

    /**
     * Sends the bytes, part by part, now or as soon as the peer takes them. They are not copied.
     */
    public void write(byte[]... parts) {
        if (closed) {
            return;
        }
        boolean wasEmpty = unsent.isEmpty();
        for (byte[] part : parts) {
            unsent.add(ByteBuffer.wrap(part));
        }
        if (wasEmpty && !connecting) {
            try {
                flush();
            } catch (IOException e) {
                // The bytes stay unsent and the read side will tell of the break: nothing of the
                // owner's runs
                // inside its own call.
            }
        }
    }

    private void flush() throws IOException {
        if (!unsent.isEmpty()) {
            reactor.systemCalls()
                    .write(
                            channel,
                            unsent.toArray(
                                    new ByteBuffer[0])); // All parts in one packet, if they fit.
        }
        while (!unsent.isEmpty() && !unsent.peek().hasRemaining()) {
            unsent.poll();
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

    /** While paused nothing more is read; the peer's own system holds it back. */
    public void setPaused(boolean newPaused) {
        if (paused != newPaused && !closed && !connecting) {
            paused = newPaused;
            updateInterest();
        }
    }

    /** All that was to be written has been given to the system, the last byte too. */
    public boolean isAllSent() {
        return !connecting && unsent.isEmpty();
    }

    public long unsentBytes() {
        long sum = 0;
        for (ByteBuffer b : unsent) {
            sum += b.remaining();
        }
        return sum;
    }

    public boolean isOpen() {
        return !closed;
    }

    /**
     * An idle connection may be closed for a new one when sockets are short, one on probation
     * before all others.
     */
    public void setIdle(boolean isIdle, boolean onProbation) {
        if (!closed) {
            reactor.sockets().updateIdle(this, isIdle, onProbation);
        }
    }

    /**
     * Ends our side once all is sent, and closes when the peer ends its own. Guards the last
     * answer: a close with unread bytes waiting resets the connection, and the peer may lose what
     * it has not read.
     */
    public void closeWhenSent() {
        if (closing || closed) {
            return;
        }
        closing = true;
        try {
            flush();
        } catch (IOException e) {
            // The read side will tell of the break.
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
     * Closed for want of sockets, unless something has come that the loop has not looked at; the
     * owner is told. Guards a request that was under way, and the last answer: a close over unread
     * bytes resets the connection.
     */
    void evict() {
        readPending();
        if (reactor.sockets().isIdle(this)) {
            closeAndNotify();
        }
    }

    private void closeAndNotify() {
        if (!closed) {
            close();
            owner.closed(this);
        }
    }

    /** Closes at once; the owner is not told. */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        reactor.sockets().updateIdle(this, false, false);
        reactor.sockets().release();
        try {
            channel.close();
        } catch (IOException e) {
            // There is nothing more to be had of a channel that cannot even be closed.
        }
    }
}
