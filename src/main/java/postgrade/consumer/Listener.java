package postgrade.consumer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import postgrade.gateway.Gateway;
import postgrade.gateway.Timers;
import postgrade.http.Connection;
import postgrade.http.Reactor;

/** The address where consumers and the providers' call-backs connect. */
public final class Listener implements Reactor.Handler {

    private static final Logger LOG = Logger.getLogger(Listener.class.getName());
    private static final int BACKLOG = 1024;
    /** The most bytes of bodies held, in part or whole; well within the heap. */
    private static final long MOST_BYTES = 24 << 20;
    private static final long SWEEP_MICROS = 1_000_000;

    final Reactor reactor;
    final Timers timers;
    final Gateway gateway;
    /** The deadline of each class, for requests that state none. */
    final Map<String, Long> deadlineMicros;
    private final BooleanSupplier able;
    private final Set<ConsumerConnection> connections = new LinkedHashSet<>();
    private final ServerSocketChannel channel;
    private final SelectionKey key;
    private long bytesHeld;
    private boolean isShort;
    private boolean stopping;
    private boolean leaving;

    /** @param able whether an invocation could be served now */
    public Listener(InetSocketAddress address, Map<String, Long> deadlineMicros, BooleanSupplier able,
            Gateway gateway, Reactor reactor, Timers timers) throws IOException {
        this.reactor = reactor;
        this.timers = timers;
        this.gateway = gateway;
        this.deadlineMicros = deadlineMicros;
        this.able = able;
        channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(address, BACKLOG);
        channel.configureBlocking(false);
        key = reactor.register(channel, SelectionKey.OP_ACCEPT, this);
        sweep();
    }

    /** The port listened on, which the system chose where the address gave 0. */
    public int port() throws IOException {
        return ((InetSocketAddress) channel.getLocalAddress()).getPort();
    }

    @Override
    public void ready(SelectionKey ready) throws IOException {
        while (reactor.sockets().takeToAccept()) {
            boolean kept = false;
            SocketChannel accepted = channel.accept();
            try {
                if (accepted == null) {
                    return;
                }
                connections.add(new ConsumerConnection(this, accepted));
                kept = true;
            } catch (IOException e) {
                LOG.log(Level.FINE, "a connection broke while it was accepted", e);
                accepted.close();
            } finally {
                if (!kept) {
                    reactor.sockets().giveBack();
                }
            }
        }
        // Guards what waits in the backlog: it is left there, not accepted and closed, until a socket is free.
        shortOfSockets(true);
    }

    private void shortOfSockets(boolean now) {
        if (now != isShort) {
            isShort = now;
            key.interestOps(isShort ? 0 : SelectionKey.OP_ACCEPT);
            LOG.warning(isShort ? "sockets used up by busy connections; accepting no more for now"
                    : "sockets free again; accepting");
        }
    }

    void holds(long moreBytes) {
        bytesHeld += moreBytes;
    }

    /** Guards the memory: a body on each of the sockets, all of the greatest length, would not fit. */
    boolean holdsTooMuch() {
        return bytesHeld > MOST_BYTES;
    }

    void closed(ConsumerConnection c) {
        connections.remove(c);
        if (isShort) {
            shortOfSockets(false);
        }
    }

    private void sweep() {
        for (ConsumerConnection c : new ArrayList<>(connections)) {
            c.sweep(timers.nowMicros());
        }
        if (isShort) {
            shortOfSockets(false); // A provider's connection may have been closed.
        }
        timers.at(timers.nowMicros() + SWEEP_MICROS, this::sweep);
    }

    boolean readyToServe() {
        return !stopping && able.getAsBoolean();
    }

    boolean leaving() {
        return leaving;
    }

    /** No longer ready, though everything that comes is still served, on connections that stay open. */
    public void beginStop() {
        stopping = true;
    }

    /**
     * Closes the consumers' connections that await no answer, so that they turn elsewhere. Answers from now on ask for
     * the connection's end.
     */
    public void leave() {
        leaving = true;
        for (ConsumerConnection c : new ArrayList<>(connections)) {
            c.closeIfIdle();
        }
    }

    /** Nothing has come in part and no answer is still being written. */
    public boolean quiet() {
        return connections.stream().noneMatch(ConsumerConnection::busy);
    }

    @Override
    public void failed(Exception e) {
        // Guards the loop: an accept may fail for want of descriptors, and the listener must outlive it.
        LOG.log(Level.WARNING, "accept failed", e);
        shortOfSockets(true);
    }
}
