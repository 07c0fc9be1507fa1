package postgrade.worker;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.dispatch.Attempt;
import postgrade.dispatch.EndEvidence;
import postgrade.dispatch.RequestTracker;
import postgrade.dispatch.Timers;
import postgrade.dispatch.WireRecord;
import postgrade.dispatch.WorkerTransport;
import postgrade.http.Message;
import postgrade.http.MessageWriter;
import postgrade.http.Reactor;
import postgrade.log.Events;
import postgrade.policy.api.AttemptOutcome;

/** Speaks to the providers: sends calls, gives them up, probes. */
public final class WorkerConnectionPools implements WorkerTransport {

    private static final Logger LOG = LoggerFactory.getLogger(WorkerConnectionPools.class);

    /**
     * Idle connections are retired after this part of the time after which providers close them.
     */
    private static final double RETIRE = 0.6;

    private static final long PROBE_MICROS = 300_000;

    /** Has ended already. */
    private static final AttemptHandle NOT_SENT =
            new AttemptHandle() {
                @Override
                public void cancel(Consumer<EndEvidence> done) {}

                @Override
                public void endedByReport() {}

                @Override
                public void startedByReport() {}

                @Override
                public boolean isWritten() {
                    return false;
                }

                @Override
                public boolean mayReport() {
                    return false;
                }

                @Override
                public WireRecord wireRecord() {
                    return WireRecord.NONE;
                }
            };

    private final Reactor reactor;
    private final Timers timers;
    private final RequestTracker gateway;
    private long connectTimeoutMicros;
    private final KeepAlive keepAlive;
    private final Map<String, Pool> pools = new HashMap<>();
    private FencingTokens fences = FencingTokens.NONE;

    /** Null where nothing paces. */
    private ConnectLimiter pacing;

    private final CancellationTracker cancellations = new CancellationTracker();

    public WorkerConnectionPools(
            RequestTracker gateway,
            Reactor reactor,
            Timers timers,
            long connectTimeoutMicros,
            long idleMicros) {
        this.gateway = gateway;
        this.reactor = reactor;
        this.timers = timers;
        this.connectTimeoutMicros = connectTimeoutMicros;
        keepAlive = new KeepAlive((long) (idleMicros * RETIRE));
    }

    /** Jobs go with these claims from now on. */
    public void setFencingTokens(FencingTokens from) {
        fences = from;
    }

    /** Connections are opened at this pace from now on. */
    public void setConnectLimiter(ConnectLimiter by) {
        pacing = by;
    }

    /** A connection to it is up or on its way. */
    public boolean hasConnection(String providerId) {
        Pool pool = pools.get(providerId);
        return pool != null && pool.connected();
    }

    /** Some provider with a connection has fewer calls of ours than that. */
    public boolean hasConnectedWorkerBelow(int fewerThan) {
        for (Pool p : pools.values()) {
            if (p.ready && p.users < fewerThan && p.connected()) {
                return true;
            }
        }
        return false;
    }

    /** For how long an idle connection is kept at most. */
    public long maxIdleMicros() {
        return keepAlive.most();
    }

    /**
     * Other times hold from now on.
     *
     * @param sameDeployment what was learnt of its network holds on
     */
    public void updateSettings(long connectMicros, long idleMicros, boolean sameDeployment) {
        connectTimeoutMicros = connectMicros;
        keepAlive.most((long) (idleMicros * RETIRE), sameDeployment);
    }

    // ---- The list.

    /**
     * Applies a change of the list, before the module hears of it. A whole list drops what it
     * lacks.
     */
    public void updateWorkers(boolean whole, List<WorkerEndpoint> targets) {
        Set<String> named = new HashSet<>();
        for (WorkerEndpoint t : targets) {
            named.add(t.id());
            Pool pool =
                    pools.computeIfAbsent(
                            t.id(),
                            id ->
                                    new Pool(
                                            id,
                                            reactor,
                                            timers,
                                            () -> connectTimeoutMicros,
                                            keepAlive,
                                            () -> pacing));
            if (pool.address != null && !pool.address.equals(t.address())) {
                pool.closeIdle();
            }
            pool.address =
                    t.address() == null
                            ? pool.address
                            : t.address(); // One that is gone may have none.
            state(pool, t.ready());
        }
        if (whole) {
            pools.values().stream()
                    .filter(p -> !named.contains(p.id))
                    .forEach(p -> state(p, false));
        }
        pools.values().removeIf(p -> !p.ready && p.unused());
    }

    private void state(Pool pool, boolean ready) {
        if (ready != pool.ready) {
            Events.info(LOG, ready ? "provider.ready" : "provider.leaving")
                    .addKeyValue("provider", pool.id)
                    .log("provider " + pool.id + (ready ? " ready" : " takes no new work"));
        }
        if (ready) {
            pool.ready = true;
        } else {
            pool.drain();
            pool.closeIdle();
        }
    }

    public long readyCount() {
        return pools.values().stream().filter(p -> p.ready).count();
    }

    // ---- Calls.

    @Override
    public AttemptHandle start(Attempt call) {
        Pool pool = pools.get(call.workerId());
        if (pool == null || !pool.ready) {
            gateway.attemptEnded(
                    call,
                    AttemptOutcome.NOT_SENT,
                    EndEvidence.of(EndEvidence.Kind.WORKER_NOT_READY));
            return NOT_SENT;
        }
        Call sent =
                new Call(
                        gateway,
                        timers,
                        pool,
                        call,
                        fences.tokenFor(call.jobClass(), call.tenant(), call.workerId()),
                        cancellations);
        pool.users++;
        pool.send(sent);
        return sent;
    }

    /** No attempt is still being given up on the wire. */
    public boolean hasNoCancellations() {
        return cancellations.underWay() == 0;
    }

    /** Each worker has been asked once to drop what is being given up, or could not be asked. */
    public boolean allCancellationsAttempted() {
        return cancellations.unasked() == 0;
    }

    // ---- Probes.

    @Override
    public void probe(String providerId) {
        Pool pool = pools.get(providerId);
        if (pool == null || !pool.ready) {
            gateway.workerProbed(providerId, false);
            return;
        }
        Probe probe = new Probe(pool);
        timers.at(timers.nowMicros() + PROBE_MICROS, probe::expire);
        pool.send(probe);
    }

    private final class Probe extends Request {
        private final Pool pool;

        Probe(Pool pool) {
            super(NONE);
            this.pool = pool;
        }

        @Override
        byte[] head() {
            return MessageWriter.request("GET", "/-/healthy").header("Host", pool.host()).noBody();
        }

        @Override
        boolean isNewWork() {
            return true;
        }

        @Override
        void answered(Message response) {
            gateway.workerProbed(pool.id, response.status() == 200);
        }

        @Override
        void broken(Break how) {
            gateway.workerProbed(pool.id, false);
        }

        void expire() {
            if (!over) {
                if (link == null) {
                    pool.withdraw(this);
                } else {
                    link.abort();
                }
                gateway.workerProbed(pool.id, false);
            }
        }
    }
}
