package postgrade.operator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.dispatch.Timers;
import postgrade.http.BindFailure;
import postgrade.http.MemoryBudget;
import postgrade.http.Reactor;
import postgrade.http.SocketBudget;
import postgrade.log.Events;

/**
 * The listening socket for operators. It has its own sockets and is served before the clients, so
 * that load from clients cannot delay an operator.
 */
public final class OperatorListener implements Reactor.Handler, Reactor {

    private static final Logger LOG = LoggerFactory.getLogger(OperatorListener.class);

    /**
     * File descriptors to reserve. Three quarters of them are for callers, some of which may
     * connect and send nothing.
     */
    public static final int MAX_SOCKETS = 16;

    private static final int BACKLOG = 64;

    final Timers timers;
    final Operations operations;
    final AdditionalEndpoints additionalEndpoints;
    private final Reactor loop;
    private final SocketBudget socketBudget = new SocketBudget(MAX_SOCKETS);
    private final ServerSocketChannel channel;
    private final SelectionKey key;

    public OperatorListener(
            InetSocketAddress address,
            Operations operations,
            AdditionalEndpoints additionalEndpoints,
            Reactor loop,
            Timers timers)
            throws IOException {
        this.operations = operations;
        this.additionalEndpoints = additionalEndpoints;
        this.loop = loop;
        this.timers = timers;
        channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        try {
            channel.bind(address, BACKLOG);
        } catch (IOException e) {
            channel.close();
            throw BindFailure.of("operators' address", address, e);
        }
        channel.configureBlocking(false);
        key = loop.register(channel, SelectionKey.OP_ACCEPT, this);
    }

    public int port() throws IOException {
        return ((InetSocketAddress) channel.getLocalAddress()).getPort();
    }

    @Override
    public Order order() {
        return Order.FIRST;
    }

    @Override
    public void ready(SelectionKey ready) throws IOException {
        // A connection that has not sent a complete call is evicted for a new one, so that idle
        // callers do not block others.
        while (socketBudget.canAcquireForAccept(true)) {
            SocketChannel accepted = channel.accept();
            if (accepted == null) {
                return;
            }
            socketBudget.acquireForAccept(true);
            try {
                new OperatorConnection(this, accepted);
            } catch (IOException e) {
                accepted.close(); // It failed during accept; the next one may succeed.
                socketBudget.release();
            }
        }
        // Every socket is in use by a call that awaits its answer, which is due soon.
        key.interestOps(0);
    }

    void closed() {
        key.interestOps(SelectionKey.OP_ACCEPT);
    }

    @Override
    public void failed(Exception e) {
        Events.warn(LOG, "operator.accept-failed")
                .setCause(e)
                .log("accept of an operator's call failed");
        key.interestOps(0);
        timers.at(timers.nowMicros() + Operations.MAX_REPLY_MICROS / 2, this::closed);
    }

    // ---- The event loop, with a socket budget of its own.

    @Override
    public SelectionKey register(SelectableChannel to, int interest, Handler handler)
            throws IOException {
        return loop.register(to, interest, handler);
    }

    @Override
    public ByteBuffer readBuffer() {
        return loop.readBuffer();
    }

    @Override
    public SocketBudget sockets() {
        return socketBudget;
    }

    @Override
    public MemoryBudget memory() {
        return loop.memory();
    }
}
