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
    private static final int MOST_LOOKS = 32;

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
    private final boolean urgent;
    private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();
    private SelectionKey key;
    private boolean connecting;
    private boolean closing;
    private boolean closed;
    private boolean paused;

    private Connection(Reactor reactor, SocketChannel channel, Owner owner, boolean urgent) {
        this.reactor = reactor;
        this.channel = channel;
        this.owner = owner;
        this.urgent = urgent;
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
            Reactor reactor, SocketChannel channel, Owner owner, boolean urgent)
            throws IOException {
        Connection c = new Connection(reactor, channel, owner, urgent);
        c.begin(SelectionKey.OP_READ);
        return c;
    }

    /**
     * Begins to connect.
     *
     * @throws NoSocketException if it is for want of something of ours
     * @throws IOException if the peer's system refuses at once
     */
    public static Connection open(
            Reactor reactor, InetSocketAddress to, Owner owner, boolean urgent) throws IOException {
        if (!reactor.sockets().takeToConnect(urgent)) {
            throw new NoSocketException("every socket is in use", null);
        }
        Connection c = null;
        try {
            c = new Connection(reactor, reactor.systemCalls().open(), owner, urgent);
            c.connecting = true;
            c.begin(SelectionKey.OP_CONNECT);
            reactor.systemCalls()
                    .connect(
                            c.channel,
                            to); // Also one that comes up at once is told of in the next turn.
            return c;
        } catch (IOException | RuntimeException e) {
            if (c == null) {
                reactor.sockets().release();
            } else {
                c.close();
            }
            if (e instanceof ConnectException || e instanceof NoRouteToHostException) {
                throw (IOException) e;
            }
            throw new NoSocketException("no connection to " + to + " could be begun", e);
        }
    }

    private void begin(int interest) throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        key = reactor.register(channel, interest, this);
    }

    @Override
    public Order order() {
        return urgent ? Order.FIRST : Order.NORMAL;
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
    private boolean read(ByteBuffer in) throws IOException {
        in.clear();
        int count = reactor.systemCalls().read(channel, in);
        if (count < 0) {
            owner.inputEnded(this);
            gone();
        } else if (count > 0 && !closing) {
            in.flip();
            try {
                owner.received(this, in);
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
        ByteBuffer own = reactor.acquireBuffer(); // The loop's buffer may be in use.
        try {
            for (int i = 0; i < MOST_LOOKS && read(own); i++) {
                // What has been read is the owner's.
            }
        } catch (IOException | RuntimeException e) {
            failed(e);
        } finally {
            reactor.releaseBuffer(own);
        }
    }

    /** False if the peer has closed an idle connection, though the loop has not come to it yet. */
    public boolean isStillOpen() {
        if (closed) {
            return false;
        }
        ByteBuffer own = reactor.acquireBuffer(); // The loop's buffer may be in use.
        try {
            return reactor.systemCalls().read(channel, own) == 0;
        } catch (IOException e) {
            return false;
        } finally {
            reactor.releaseBuffer(own);
        }
    }

    /**
     * Sends the bytes, part by part, now or as soon as the peer takes them. They are not copied.
     */
    public void write(byte[]... parts) {
        if (closed) {
            return;
        }
        boolean first = unsent.isEmpty();
        for (byte[] part : parts) {
            unsent.add(ByteBuffer.wrap(part));
        }
        if (first && !connecting) {
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
        interest();
        if (unsent.isEmpty() && closing) {
            channel.shutdownOutput();
        }
    }

    private void interest() {
        key.interestOps(
                (paused ? 0 : SelectionKey.OP_READ)
                        | (unsent.isEmpty() ? 0 : SelectionKey.OP_WRITE));
    }

    /** While paused nothing more is read; the peer's own system holds it back. */
    public void setPaused(boolean now) {
        if (paused != now && !closed && !connecting) {
            paused = now;
            interest();
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
            reactor.sockets().idle(this, isIdle, onProbation);
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
        gone();
    }

    /**
     * Closed for want of sockets, unless something has come that the loop has not looked at; the
     * owner is told. Guards a request that was under way, and the last answer: a close over unread
     * bytes resets the connection.
     */
    void evict() {
        readPending();
        if (reactor.sockets().isIdle(this)) {
            gone();
        }
    }

    private void gone() {
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
        reactor.sockets().idle(this, false, false);
        reactor.sockets().release();
        try {
            channel.close();
        } catch (IOException e) {
            // There is nothing more to be had of a channel that cannot even be closed.
        }
    }
}
