package postgrade.client;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.NetworkChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.dispatch.ExtensionHeaders;
import postgrade.dispatch.RequestTracker;
import postgrade.dispatch.Timers;
import postgrade.http.ArrivalTimes;
import postgrade.http.BindFailure;
import postgrade.http.Reactor;
import postgrade.lifecycle.Lifecycle;
import postgrade.log.Events;

/** The address where consumers and the providers' call-backs connect. */
public final class ClientListener implements Reactor.Handler {

    private static final Logger LOG = LoggerFactory.getLogger(ClientListener.class);
    private static final int BACKLOG = 1024;

    /** The most bytes of bodies held, in part or whole; well within the heap. */
    private static final long MOST_BYTES = 24 << 20;

    private static final long SWEEP_MICROS = 50_000;

    /** Guards the turn: a flood of connections is accepted in parts. */
    private static final int MOST_ACCEPTS = 64;

    /** Consumers that wait in the backlog for longer than a moment are worth a line in the log. */
    private static final long SHORT_MICROS = 1_000_000;

    final Reactor reactor;
    final Timers timers;
    final RequestTracker gateway;

    /** The deadline of each class, for requests that state none. */
    Map<String, Long> deadlineMicros;

    private Set<String> tenants;
    private final BooleanSupplier able;
    private final Lifecycle lifecycle;
    private final Set<ConsumerConnection> connections = new LinkedHashSet<>();
    private final InetSocketAddress address;
    final CallBackRelay relay;

    /** Null where nobody reads them. */
    ExtensionHeaders claims;

    /** Null while nothing is accepted here. */
    private ServerSocketChannel channel;

    /**
     * Bound and not listening, so that the address is ours and consumers are turned away at once;
     * null once it listens.
     */
    private SocketChannel held;

    private SelectionKey key;
    private long bytesHeld;
    private boolean paused;

    /** Of the backlog. */
    private ArrivalTimes arrivals;

    /**
     * Since when every place has been taken, 0 if there are places; and whether the log says so.
     */
    private long shortMicros;

    private boolean told;

    /**
     * @param tenants who may submit jobs; empty where there are none
     * @param able whether an invocation could be served now
     * @param relay to the other processes of this dispatcher
     * @param lifecycle decides readiness and when connections end
     * @param holds it does not listen before consumers are taken: they turn elsewhere, as if
     *     nothing had started here
     */
    public ClientListener(
            InetSocketAddress address,
            boolean holds,
            Map<String, Long> deadlineMicros,
            Set<String> tenants,
            BooleanSupplier able,
            Lifecycle lifecycle,
            CallBackRelay relay,
            RequestTracker gateway,
            Reactor reactor,
            Timers timers)
            throws IOException {
        this.reactor = reactor;
        this.timers = timers;
        this.gateway = gateway;
        this.deadlineMicros = deadlineMicros;
        this.tenants = tenants;
        this.able = able;
        this.lifecycle = lifecycle;
        this.relay = relay;
        if (holds) {
            held = SocketChannel.open();
            held.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            shared(held);
            bind(held, address);
            this.address = (InetSocketAddress) held.getLocalAddress();
        } else {
            listen(address);
            this.address = (InetSocketAddress) channel.getLocalAddress();
        }
        sweep();
    }

    /**
     * Throws where any other program listens at the address already. Guards against a second
     * dispatcher that is started by mistake: with SO_REUSEPORT the two would share the consumers
     * and lose each other's call-backs.
     */
    public static void requireAddressFree(InetSocketAddress address) throws IOException {
        if (address.getPort() != 0) {
            try (SocketChannel probe = SocketChannel.open()) {
                probe.setOption(StandardSocketOptions.SO_REUSEADDR, true);
                probe.bind(address);
            } catch (IOException e) {
                throw BindFailure.of("no process of this dispatcher is linked, and", address, e);
            }
        }
    }

    private void listen(InetSocketAddress at) throws IOException {
        channel = ServerSocketChannel.open();
        try {
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            shared(channel);
            bind(channel, at);
            channel.configureBlocking(false);
            arrivals = new ArrivalTimes(timers.nowMicros(), timers.nowMicros());
            key = reactor.register(channel, SelectionKey.OP_ACCEPT, this);
        } catch (IOException e) {
            channel.close();
            channel = null;
            throw e;
        }
    }

    private static void bind(SocketChannel socket, InetSocketAddress at) throws IOException {
        try {
            socket.bind(at);
        } catch (IOException e) {
            throw BindFailure.of("to hold", at, e);
        }
    }

    private static void bind(ServerSocketChannel socket, InetSocketAddress at) throws IOException {
        try {
            socket.bind(at, BACKLOG);
        } catch (IOException e) {
            throw BindFailure.of("to listen at", at, e);
        }
    }

    /** From the first start on, or a new version could not listen beside this one. */
    private static void shared(NetworkChannel c) throws IOException {
        if (c.supportedOptions().contains(StandardSocketOptions.SO_REUSEPORT)) {
            c.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        }
    }

    /**
     * Ends or begins to listen, as the lifecycle says. Guards the connections that wait: closing
     * the socket resets them, so all are accepted first, and the socket goes in the same moment.
     * What does not find a place keeps it open.
     */
    public void applyLifecycle() {
        try {
            if (lifecycle.acceptsConnections()
                    && channel == null
                    && (held == null || lifecycle.hasStarted())) {
                if (held != null && !relay.hasPeers()) {
                    requireAddressFree(
                            address); // Another may have come to listen since this one was started.
                }
                listen(address);
                if (held != null) {
                    held.close();
                    held = null;
                }
            }
            pause(false);
            if (!lifecycle.acceptsConnections()
                    && channel != null
                    && acceptAll(Integer.MAX_VALUE)) {
                channel.close();
                channel = null;
            }
        } catch (IOException e) {
            failed(e);
        }
    }

    /** Read from now on in each job's headers; null for none. */
    public void setExtensionHeaders(ExtensionHeaders read) {
        claims = read;
    }

    /** Other classes and tenants hold for jobs that come from now on. */
    public void updateSettings(Map<String, Long> deadlines, Set<String> knownTenants) {
        deadlineMicros = deadlines;
        tenants = knownTenants;
    }

    /** The address is held, and nothing listens there yet. */
    public boolean reservesAddress() {
        return held != null;
    }

    /** The port listened on, which the system chose where the address gave 0. */
    public int port() throws IOException {
        return address.getPort();
    }

    @Override
    public Order order() {
        return Order.LAST;
    }

    @Override
    public void ready(SelectionKey ready) throws IOException {
        acceptAll(MOST_ACCEPTS);
    }

    /** Accepts what waits. True if nothing is left. */
    private boolean acceptAll(int most) throws IOException {
        long sinceMicros =
                arrivals.beforeRead(reactor.previousWaitEndMicros(), reactor.readySinceMicros());
        if (!lifecycle.hasStarted()) {
            pause(true);
            return false;
        }
        for (int i = 0; i < most; i++) {
            // Guards the connections that usual peers keep: those that have just come and may be of
            // no use are
            // waited for, a moment, before one of the others has to go.
            boolean anyIdle = connections.stream().noneMatch(c -> c.fresh(timers.nowMicros()));
            if (!reactor.sockets().canAcquireForAccept(anyIdle)) {
                // Guards what waits in the backlog: it is left there, not accepted and closed,
                // until there is a place.
                pause(true);
                shortMicros = shortMicros == 0 ? timers.nowMicros() : shortMicros;
                return false;
            }
            SocketChannel accepted = reactor.systemCalls().accept(channel);
            if (accepted == null) {
                arrivals.afterRead(timers.nowMicros(), true);
                return true;
            }
            boolean kept = false;
            // Only now: guards the connections that would be closed for one that has not come.
            reactor.sockets().acquireForAccept(anyIdle);
            try {
                connections.add(new ConsumerConnection(this, accepted, sinceMicros));
                kept = true;
            } catch (IOException e) {
                LOG.debug("a connection broke while it was accepted", e);
                accepted.close();
            } finally {
                if (!kept) {
                    reactor.sockets().release();
                }
            }
        }
        arrivals.afterRead(timers.nowMicros(), false);
        return false;
    }

    private void pause(boolean now) {
        if (now != paused && channel != null) {
            paused = now;
            arrivals.watch(timers.nowMicros(), !paused);
            key.interestOps(paused ? 0 : SelectionKey.OP_ACCEPT);
        }
    }

    private void tellOfShortage(long nowMicros) {
        if (!paused) {
            shortMicros = 0;
        }
        boolean isShort = shortMicros != 0 && nowMicros - shortMicros >= SHORT_MICROS;
        if (isShort != told) {
            told = isShort;
            Events.warn(LOG, isShort ? "sockets.used-up" : "sockets.free")
                    .log(
                            isShort
                                    ? "sockets used up by busy connections; accepting no more for now"
                                    : "sockets free again; accepting");
        }
    }

    void holds(long moreBytes) {
        bytesHeld += moreBytes;
    }

    /**
     * Guards the memory: a body on each of the sockets, all of the greatest length, would not fit.
     */
    boolean holdsTooMuch() {
        return bytesHeld > MOST_BYTES;
    }

    void closed(ConsumerConnection c) {
        connections.remove(c);
        pause(false);
    }

    private void sweep() {
        boolean leaves = lifecycle.closesIdleConnections(timers.nowMicros());
        for (ConsumerConnection c : new ArrayList<>(connections)) {
            c.sweep(timers.nowMicros());
            if (leaves) {
                c.leaveIfResting(false); // So that its consumer turns elsewhere.
            }
        }
        tellOfShortage(timers.nowMicros());
        pause(false); // A provider's connection may have been closed, or one become idle.
        timers.at(timers.nowMicros() + SWEEP_MICROS, this::sweep);
    }

    /** A call-back that came to another process of this dispatcher and was found right there. */
    public void handleRelayedCallBack(byte[] body) {
        JobEvent.of(body).tell(gateway);
    }

    boolean knowsTenant(String name) {
        return name == null || (tenants.isEmpty() ? Fields.isName(name) : tenants.contains(name));
    }

    boolean readyToServe() {
        return lifecycle.isReady() && able.getAsBoolean();
    }

    /** Answers to consumers end their connections now. */
    boolean endsConnections() {
        return lifecycle.closesAfterAnswer(timers.nowMicros());
    }

    /** Nothing has come in part and no answer is still being written. */
    public boolean isIdle() {
        return connections.stream().noneMatch(ConsumerConnection::busy);
    }

    /** SIGKILL is near: requests that have come in part would be whole too late. */
    public void rejectIncompleteRequests() {
        new ArrayList<>(connections).forEach(ConsumerConnection::refuseUnfinished);
    }

    /**
     * Ends the connections that are left, once all is answered and none is busy. What waits in the
     * backlog, or has come and has not been read, is served first: this is to be asked again. True
     * when no connection is left: each peer has ended its own side, which it does once it has read
     * all, or has been given the time to.
     */
    public boolean tryCloseAll() {
        try {
            if (channel != null && !acceptAll(Integer.MAX_VALUE)) {
                return false;
            }
            new ArrayList<>(connections).forEach(ConsumerConnection::look);
            if (!isIdle() || connections.stream().anyMatch(c -> c.fresh(timers.nowMicros()))) {
                return false;
            }
            lifecycle.beginClosing();
            if (channel != null) {
                channel.close();
                channel = null;
            }
        } catch (IOException e) {
            failed(e);
            return false;
        }
        new ArrayList<>(connections).forEach(c -> c.leaveIfResting(true));
        return connections.isEmpty();
    }

    @Override
    public void failed(Exception e) {
        // Guards the loop: an accept may fail for want of descriptors, and the listener must
        // outlive it.
        Events.warn(LOG, "accept.failed").setCause(e).log("accept failed");
        pause(true);
    }
}
