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
 * Stands between one dispatcher and one worker and puts faults into their exchanges. What it did is
 * written to the history.
 */
public final class JobProxy implements Closeable {

    private static final int BACKLOG = 256;
    private static final int CONNECT_MILLIS = 2000;

    final int dispatcher;
    final String worker;
    final ScheduledExecutorService clock;
    private final InetSocketAddress target;
    private final History history;
    private final ServerSocket listener;
    private final Set<ProxiedConnection> open = ConcurrentHashMap.newKeySet();
    private final Map<String, OvertakingLatch> overtakings = new ConcurrentHashMap<>();
    private volatile FaultSelector faultSelector = FaultSelector.NONE;
    private volatile boolean closed;

    /**
     * Listens at once.
     *
     * @param dispatcher that connects here, counted from 0
     * @param clock runs what is due later
     */
    public JobProxy(
            int dispatcher,
            String worker,
            InetSocketAddress target,
            History history,
            ScheduledExecutorService clock)
            throws IOException {
        this.dispatcher = dispatcher;
        this.worker = worker;
        this.target = target;
        this.history = history;
        this.clock = clock;
        listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        daemonThread("accepts for " + worker, this::accept).start();
    }

    /** Faults of exchanges that begin from now on. */
    public void setFaultSelector(FaultSelector selector) {
        faultSelector = selector;
    }

    /** Where it listens, as {@code host:port}. */
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
                    throw new IllegalStateException("the proxy of " + worker + " lost its port", e);
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
            // A dead process refuses: whoever connects sees a reset.
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
            history.add(
                    "proxy",
                    "fault.exchange",
                    new JsonObject()
                            .add("fault", fault.toString())
                            .add("request", exchange.subject())
                            .add("carries", exchange.isJob() ? "job" : "cancellation")
                            .add("dispatcher", "n" + (dispatcher + 1))
                            .add("worker", worker));
        }
        return fault;
    }

    /** A fault that was chosen has come about. */
    void faultInjected(ExchangeFault fault) {
        if (fault.kind() != ExchangeFault.Kind.NONE) {
            faultSelector.faultInjected(fault.kind());
        }
    }

    /** What a job and its cancellation wait for. */
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
