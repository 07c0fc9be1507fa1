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
import postgrade.http.MemoryBudget;
import postgrade.http.Reactor;
import postgrade.lifecycle.Lifecycle;
import postgrade.log.Events;

/** The listening socket for clients and for the workers' call-backs. */
public final class ClientListener implements Reactor.Handler {

    private static final Logger LOG = LoggerFactory.getLogger(ClientListener.class);
    private static final int BACKLOG = 1024;

    /**
     * The system's buffers of an accepted connection, in each direction; the system takes twice
     * this. Without a limit it grows them to several megabytes for a peer that sends fast, and all
     * of that counts as the process's memory.
     */
    private static final int SYSTEM_BUFFER_BYTES = 32 << 10;

    private static final long SWEEP_MICROS = 50_000;

    /**
     * The most connections accepted per loop iteration, so that a flood of connections does not
     * stall the loop.
     */
    private static final int MAX_ACCEPTS_PER_ITERATION = 64;

    /** Clients that wait in the backlog for longer than this are reported in the log. */
    private static final long SHORTAGE_LOG_MICROS = 1_000_000;

    final Reactor reactor;
    final Timers timers;
    final RequestTracker tracker;

    /** The deadline of each job class, for requests that state none. */
    Map<String, Long> deadlineMicros;

    private Set<String> tenants;
    private final BooleanSupplier canServe;
    private final Lifecycle lifecycle;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private final InetSocketAddress address;
    final CallBackRelay relay;

    /** The memory of the requests that await their answers. */
    final MemoryBudget.Reservation requestMemory;

    /** Null if no extension reads headers. */
    ExtensionHeaders extensionHeaders;

    /** Null while the socket does not listen. */
    private ServerSocketChannel channel;

    /**
     * Bound but not listening, which reserves the address while connection attempts are refused at
     * once. Null once the channel listens.
     */
    private SocketChannel reservedSocket;

    private SelectionKey key;
    private boolean paused;

    /** Arrival times of the backlog. */
    private ArrivalTimes backlogArrivals;

    /** Since when all sockets have been in use, 0 while some are free. */
    private long shortageSinceMicros;

    private boolean shortageLogged;

    /**
     * Opens the listener.
     *
     * @param tenants the tenants that may submit jobs; empty if none are configured
     * @param canServe whether a request could be served now
     * @param relay the relay to the other processes of this dispatcher
     * @param lifecycle decides readiness and when connections close
     * @param reserves whether to bind only and not listen until clients are accepted: until then
     *     their connection attempts are refused, and they try other dispatchers
     */
    public ClientListener(
            InetSocketAddress address,
            boolean reserves,
            Map<String, Long> deadlineMicros,
            Set<String> tenants,
            BooleanSupplier canServe,
            Lifecycle lifecycle,
            CallBackRelay relay,
            RequestTracker tracker,
            Reactor reactor,
            Timers timers)
            throws IOException {
        this.reactor = reactor;
        this.timers = timers;
        this.tracker = tracker;
        this.deadlineMicros = deadlineMicros;
        this.tenants = tenants;
        this.canServe = canServe;
        this.lifecycle = lifecycle;
        this.relay = relay;
        requestMemory = reactor.memory().reservation();
        if (reserves) {
            reservedSocket = SocketChannel.open();
            reservedSocket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            enablePortReuse(reservedSocket);
            bind(reservedSocket, address);
            this.address = (InetSocketAddress) reservedSocket.getLocalAddress();
        } else {
            listen(address);
            this.address = (InetSocketAddress) channel.getLocalAddress();
        }
        sweep();
    }

    /**
     * Throws if another program already listens at the address. Prevents a second dispatcher
     * started by mistake: with SO_REUSEPORT the two would split the clients between them and lose
     * each other's call-backs.
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
            enablePortReuse(channel);
            channel.setOption(StandardSocketOptions.SO_RCVBUF, SYSTEM_BUFFER_BYTES);
            bind(channel, at);
            channel.configureBlocking(false);
            backlogArrivals = new ArrivalTimes(timers.nowMicros(), timers.nowMicros());
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

    /**
     * Must be set from the first start on; otherwise a new version could not listen beside this
     * one.
     */
    private static void enablePortReuse(NetworkChannel socket) throws IOException {
        if (socket.supportedOptions().contains(StandardSocketOptions.SO_REUSEPORT)) {
            socket.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        }
    }

    /**
     * Starts or stops listening as the lifecycle requires. Closing the socket resets the
     * connections in the backlog, so all of them are accepted first and the socket is closed in the
     * same step. If there are not enough sockets to accept them, it stays open.
     */
    public void applyLifecycle() {
        try {
            if (lifecycle.acceptsConnections()
                    && channel == null
                    && (reservedSocket == null || lifecycle.hasStarted())) {
                if (reservedSocket != null && !relay.hasPeers()) {
                    // Another process may have started to listen since this one started.
                    requireAddressFree(address);
                }
                listen(address);
                if (reservedSocket != null) {
                    reservedSocket.close();
                    reservedSocket = null;
                }
            }
            setAcceptingPaused(false);
            if (!lifecycle.acceptsConnections()
                    && channel != null
                    && acceptPending(Integer.MAX_VALUE)) {
                channel.close();
                channel = null;
            }
        } catch (IOException e) {
            failed(e);
        }
    }

    /** Sets the reader of extension headers for jobs from now on; null for none. */
    public void setExtensionHeaders(ExtensionHeaders headers) {
        extensionHeaders = headers;
    }

    /** Replaces the classes and tenants for jobs that arrive from now on. */
    public void updateSettings(Map<String, Long> deadlines, Set<String> knownTenants) {
        deadlineMicros = deadlines;
        tenants = knownTenants;
    }

    /** Returns whether the address is bound but not yet listening. */
    public boolean reservesAddress() {
        return reservedSocket != null;
    }

    /** Returns the port, which the system chose if the address gave 0. */
    public int port() throws IOException {
        return address.getPort();
    }

    @Override
    public Order order() {
        return Order.LAST;
    }

    @Override
    public void ready(SelectionKey ready) throws IOException {
        acceptPending(MAX_ACCEPTS_PER_ITERATION);
    }

    /** Accepts pending connections. Returns true if none is left. */
    private boolean acceptPending(int limit) throws IOException {
        long sinceMicros =
                backlogArrivals.beforeRead(
                        reactor.previousWaitEndMicros(), reactor.readySinceMicros());
        if (!lifecycle.hasStarted()) {
            setAcceptingPaused(true);
            return false;
        }
        for (int i = 0; i < limit; i++) {
            // Gives new connections a short time to send a valid request before a connection of an
            // established peer is evicted for them.
            boolean mayEvictEstablished =
                    connections.stream().noneMatch(c -> c.isFresh(timers.nowMicros()));
            if (!reactor.sockets().canAcquireForAccept(mayEvictEstablished)) {
                // Without a free socket, connections stay in the backlog instead of being accepted
                // and closed.
                setAcceptingPaused(true);
                shortageSinceMicros =
                        shortageSinceMicros == 0 ? timers.nowMicros() : shortageSinceMicros;
                return false;
            }
            SocketChannel accepted = reactor.systemCalls().accept(channel);
            if (accepted == null) {
                backlogArrivals.afterRead(timers.nowMicros(), true);
                return true;
            }
            boolean registered = false;
            // Acquired only after accept has returned a connection, so that none is evicted for one
            // that has not arrived.
            reactor.sockets().acquireForAccept(mayEvictEstablished);
            try {
                accepted.setOption(StandardSocketOptions.SO_SNDBUF, SYSTEM_BUFFER_BYTES);
                connections.add(new ClientConnection(this, accepted, sinceMicros));
                registered = true;
            } catch (IOException e) {
                LOG.debug("a connection failed while it was accepted", e);
                accepted.close();
            } finally {
                if (!registered) {
                    reactor.sockets().release();
                }
            }
        }
        backlogArrivals.afterRead(timers.nowMicros(), false);
        return false;
    }

    private void setAcceptingPaused(boolean pause) {
        if (pause != paused && channel != null) {
            paused = pause;
            backlogArrivals.watch(timers.nowMicros(), !paused);
            key.interestOps(paused ? 0 : SelectionKey.OP_ACCEPT);
        }
    }

    private void logShortage(long nowMicros) {
        if (!paused) {
            shortageSinceMicros = 0;
        }
        boolean isShort =
                shortageSinceMicros != 0 && nowMicros - shortageSinceMicros >= SHORTAGE_LOG_MICROS;
        if (isShort != shortageLogged) {
            shortageLogged = isShort;
            Events.warn(LOG, isShort ? "sockets.used-up" : "sockets.free")
                    .log(
                            isShort
                                    ? "sockets used up by busy connections; accepting no more for now"
                                    : "sockets free again; accepting");
        }
    }

    /**
     * Returns whether a request of this length can be accepted beside those under way. Short ones
     * are accepted in any case.
     */
    boolean fitsMemoryLimit(long requestBytes) {
        return requestBytes <= ClientConnection.SMALL_BODY_BYTES
                || requestMemory.canGrow(requestBytes);
    }

    void closed(ClientConnection connection) {
        connections.remove(connection);
        setAcceptingPaused(false);
    }

    private void sweep() {
        boolean closesIdle = lifecycle.closesIdleConnections(timers.nowMicros());
        for (ClientConnection connection : new ArrayList<>(connections)) {
            connection.sweep(timers.nowMicros());
            if (closesIdle) {
                connection.closeIfIdle(false); // So that its client turns to another dispatcher.
            }
        }
        logShortage(timers.nowMicros());
        // A worker's connection may have closed, or another one become idle.
        setAcceptingPaused(false);
        timers.at(timers.nowMicros() + SWEEP_MICROS, this::sweep);
    }

    /**
     * Handles a call-back that another process of this dispatcher received and parsed successfully.
     */
    public void handleRelayedCallBack(byte[] body) {
        JobEvent.parse(body).deliver(tracker);
    }

    boolean knowsTenant(String name) {
        return name == null
                || (tenants.isEmpty() ? JobHeaders.isValidName(name) : tenants.contains(name));
    }

    boolean isReadyToServe() {
        return lifecycle.isReady() && canServe.getAsBoolean();
    }

    /** Returns whether answers to clients close their connections now. */
    boolean closesAfterAnswer() {
        return lifecycle.closesAfterAnswer(timers.nowMicros());
    }

    /** Returns whether no request is partially received and no answer is still being written. */
    public boolean isIdle() {
        return connections.stream().noneMatch(ClientConnection::isBusy);
    }

    /** Rejects partially received requests, which would be complete too late before SIGKILL. */
    public void rejectIncompleteRequests() {
        new ArrayList<>(connections).forEach(ClientConnection::rejectIncompleteRequest);
    }

    /**
     * Closes the remaining connections once all requests are answered and no connection is busy.
     * Requests that wait in the backlog or unread in a socket are served first; the caller then has
     * to call again. Returns true when no connection is left: each peer has closed its side, which
     * it does once it has read everything, or has timed out.
     */
    public boolean tryCloseAll() {
        try {
            if (channel != null && !acceptPending(Integer.MAX_VALUE)) {
                return false;
            }
            new ArrayList<>(connections).forEach(ClientConnection::readPending);
            if (!isIdle() || connections.stream().anyMatch(c -> c.isFresh(timers.nowMicros()))) {
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
        new ArrayList<>(connections).forEach(c -> c.closeIfIdle(true));
        return connections.isEmpty();
    }

    @Override
    public void failed(Exception e) {
        // Accept may fail for lack of file descriptors; the listener pauses and stays open.
        Events.warn(LOG, "accept.failed").setCause(e).log("accept failed");
        setAcceptingPaused(true);
    }
}
