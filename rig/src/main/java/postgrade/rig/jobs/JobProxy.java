package postgrade.rig.jobs;

import com.eclipsesource.json.JsonObject;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import postgrade.rig.history.History;
import postgrade.rig.proxy.SocketReset;

/**
 * Forwards the exchanges between one dispatcher and one worker and injects faults into them. Each
 * fault is recorded in the history.
 */
public final class JobProxy implements Closeable {

    private static final int BACKLOG = 256;
    private static final int CONNECT_MILLIS = 2000;

    final int dispatcher;
    final String worker;
    final ScheduledExecutorService clock;
    private final InetSocketAddress target;
    final RequestGates gates;
    private final History history;
    private final ServerSocket listener;
    private final Set<ProxiedConnection> open = ConcurrentHashMap.newKeySet();
    private final Map<String, OvertakingLatch> overtakings = new ConcurrentHashMap<>();
    private volatile FaultSelector faultSelector = FaultSelector.NONE;
    private volatile boolean closed;

    /**
     * Starts to listen.
     *
     * @param dispatcher index of the connecting dispatcher, from 0
     * @param clock runs delayed actions
     * @param gates shared by the proxies to all workers
     */
    public JobProxy(
            int dispatcher,
            String worker,
            InetSocketAddress target,
            History history,
            ScheduledExecutorService clock,
            RequestGates gates)
            throws IOException {
        this.dispatcher = dispatcher;
        this.worker = worker;
        this.target = target;
        this.history = history;
        this.clock = clock;
        this.gates = gates;
        listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        daemonThread("accepts for " + worker, this::accept).start();
    }

    /** Selects faults for exchanges that begin from now on. */
    public void setFaultSelector(FaultSelector selector) {
        faultSelector = selector;
    }

    /** Address of the listener as {@code host:port}. */
    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket dispatcherSide = listener.accept();
                daemonThread("connects to " + worker, () -> connect(dispatcherSide)).start();
            } catch (IOException e) {
                if (!closed) {
                    throw new IllegalStateException(
                            "the proxy for " + worker + " cannot accept connections any more", e);
                }
            }
        }
    }

    private void connect(Socket dispatcherSide) {
        Socket workerSide = new Socket();
        try {
            dispatcherSide.setTcpNoDelay(true);
            workerSide.setTcpNoDelay(true);
            workerSide.connect(target, CONNECT_MILLIS);
        } catch (IOException e) {
            // Connecting to a dead process is refused; the dispatcher sees a reset.
            SocketReset.reset(dispatcherSide);
            SocketReset.reset(workerSide);
            return;
        }
        ProxiedConnection connection = new ProxiedConnection(this, dispatcherSide, workerSide);
        open.add(connection);
        connection.start();
    }

    ExchangeFault selectFault(RawMessage request, int number) {
        FaultSelector.Exchange exchange =
                new FaultSelector.Exchange(
                        dispatcher, worker, request.subject(), request.isJob(), number);
        ExchangeFault fault = faultSelector.select(exchange);
        if (fault.kind() != ExchangeFault.Kind.NONE) {
            record("fault.exchange", request, new JsonObject().add("fault", fault.toString()));
        }
        return fault;
    }

    /** Records that the whole request was written to the worker. */
    void requestForwarded(RawMessage request) {
        record("exchange.forwarded", request, new JsonObject());
    }

    /** Records that the worker's answer to the request was written to the dispatcher. */
    void answerForwarded(RawMessage request) {
        record("exchange.answered", request, new JsonObject());
    }

    private void record(String event, RawMessage request, JsonObject fields) {
        history.add(
                "proxy",
                event,
                fields.add("request", request.subject())
                        .add("carries", request.isJob() ? "job" : "cancellation")
                        .add("dispatcher", "n" + (dispatcher + 1))
                        .add("worker", worker));
    }

    /** Reports that a selected fault was injected. */
    void faultInjected(ExchangeFault fault) {
        if (fault.kind() != ExchangeFault.Kind.NONE) {
            faultSelector.faultInjected(fault.kind());
        }
    }

    /** Returns the latch that a job and its cancellation share. */
    OvertakingLatch overtaking(String subject) {
        return overtakings.computeIfAbsent(subject, key -> new OvertakingLatch());
    }

    void connectionEnded(ProxiedConnection connection) {
        open.remove(connection);
    }

    static Thread daemonThread(String name, Runnable task) {
        Thread thread = new Thread(task, "proxy " + name);
        thread.setDaemon(true);
        return thread;
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
        List.copyOf(open).forEach(ProxiedConnection::reset);
    }
}
