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
import postgrade.http.Reactor;
import postgrade.http.SocketBudget;
import postgrade.log.Events;

/**
 * The address where operators call. Its sockets are its own, and it is served ahead of the
 * consumers, so that no load of theirs keeps an operator waiting.
 */
public final class OperatorListener implements Reactor.Handler, Reactor {

    private static final Logger LOG = LoggerFactory.getLogger(OperatorListener.class);

    /**
     * Descriptors to set aside: of them three quarters are for callers, of whom some sit and say
     * nothing.
     */
    public static final int MAX_SOCKETS = 16;

    private static final int BACKLOG = 64;

    final Timers timers;
    final Operations operations;
    final AdditionalEndpoints further;
    private final Reactor loop;
    private final SocketBudget places = new SocketBudget(MAX_SOCKETS);
    private final ServerSocketChannel channel;
    private final SelectionKey key;

    public OperatorListener(
            InetSocketAddress address,
            Operations operations,
            AdditionalEndpoints further,
            Reactor loop,
            Timers timers)
            throws IOException {
        this.operations = operations;
        this.further = further;
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
        // Guards those who call: one who sits there and has sent no whole call goes for the next
        // who comes.
        while (places.canAcquireForAccept(true)) {
            SocketChannel accepted = channel.accept();
            if (accepted == null) {
                return;
            }
            places.acquireForAccept(true);
            try {
                new OperatorConnection(this, accepted);
            } catch (IOException e) {
                accepted.close(); // It broke while it was accepted; the next one need not.
                places.release();
            }
        }
        key.interestOps(
                0); // Every place is taken by a call that waits for its answer, which is due soon.
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

    // ---- The loop, but for the budget.

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
        return places;
    }
}
