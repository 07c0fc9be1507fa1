package postgrade.rig.jobs;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import postgrade.fleet.net.Fleet;
import postgrade.rig.history.History;

/** Proxies between every dispatcher and every worker in its list. */
public final class JobProxies implements Fleet.AddressView, Closeable {

    private final History history;
    private final Map<String, JobProxy> proxies = new HashMap<>();
    private final RequestGates gates = new RequestGates();
    private final ScheduledExecutorService clock =
            Executors.newSingleThreadScheduledExecutor(
                    task -> JobProxy.daemonThread("clock", task));
    private FaultSelector faultSelector = FaultSelector.NONE;

    /** Records what the proxies do in this history. */
    public JobProxies(History history) {
        this.history = history;
    }

    @Override
    public synchronized String of(int dispatcher, String worker, String address) {
        return proxies.computeIfAbsent(
                        dispatcher + " " + worker, key -> open(dispatcher, worker, address))
                .address();
    }

    private JobProxy open(int dispatcher, String worker, String address) {
        int colon = address.lastIndexOf(':');
        InetSocketAddress target =
                new InetSocketAddress(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1)));
        try {
            JobProxy proxy = new JobProxy(dispatcher, worker, target, history, clock, gates);
            proxy.setFaultSelector(faultSelector);
            return proxy;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Selects faults for exchanges that begin from now on. */
    public synchronized void setFaultSelector(FaultSelector selector) {
        faultSelector = selector;
        proxies.values().forEach(proxy -> proxy.setFaultSelector(selector));
    }

    @Override
    public synchronized void close() throws IOException {
        clock.shutdownNow();
        for (JobProxy proxy : proxies.values()) {
            proxy.close();
        }
    }
}
