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

/** The transport to the workers: sends and cancels attempts, and probes workers. */
public final class WorkerConnectionPools implements WorkerTransport {

    private static final Logger LOG = LoggerFactory.getLogger(WorkerConnectionPools.class);

    /**
     * Idle connections are retired after this fraction of the time after which workers close them.
     */
    private static final double IDLE_FRACTION = 0.6;

    private static final long PROBE_TIMEOUT_MICROS = 300_000;

    /** Handle of an attempt that has already ended. */
    private static final AttemptHandle ENDED_UNSENT =
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
    private final RequestTracker tracker;
    private long connectTimeoutMicros;
    private final AdaptiveIdleTimeout idleTimeout;
    private final Map<String, ConnectionPool> pools = new HashMap<>();
    private FencingTokens fencingTokens = FencingTokens.NONE;

    /** Null if connects are not limited. */
    private ConnectLimiter connectLimiter;

    private final CancellationTracker cancellations = new CancellationTracker();

    public WorkerConnectionPools(
            RequestTracker tracker,
            Reactor reactor,
            Timers timers,
            long connectTimeoutMicros,
            long idleMicros) {
        this.tracker = tracker;
        this.reactor = reactor;
        this.timers = timers;
        this.connectTimeoutMicros = connectTimeoutMicros;
        idleTimeout = new AdaptiveIdleTimeout((long) (idleMicros * IDLE_FRACTION));
    }

    /** Sets the source of the fencing tokens for the jobs sent from now on. */
    public void setFencingTokens(FencingTokens tokens) {
        fencingTokens = tokens;
    }

    /** Sets the limiter for connections opened from now on. */
    public void setConnectLimiter(ConnectLimiter limiter) {
        connectLimiter = limiter;
    }

    /** Whether a connection to this worker is established or being opened. */
    public boolean hasConnection(String workerId) {
        ConnectionPool pool = pools.get(workerId);
        return pool != null && pool.hasConnection();
    }

    /** Whether some ready worker with a connection has fewer of our attempts than this. */
    public boolean hasConnectedWorkerBelow(int maxAttempts) {
        for (ConnectionPool pool : pools.values()) {
            if (pool.ready && pool.activeAttempts < maxAttempts && pool.hasConnection()) {
                return true;
            }
        }
        return false;
    }

    /** How long an idle connection is kept at most. */
    public long maxIdleMicros() {
        return idleTimeout.max();
    }

    /**
     * Applies other time-outs from now on.
     *
     * @param sameDeployment whether what was learnt of the network still holds
     */
    public void updateSettings(
            long newConnectTimeoutMicros, long idleMicros, boolean sameDeployment) {
        connectTimeoutMicros = newConnectTimeoutMicros;
        idleTimeout.setMax((long) (idleMicros * IDLE_FRACTION), sameDeployment);
    }

    // ---- Worker list.

    /**
     * Applies a change of the worker list, before the policy is notified. Workers that a complete
     * list does not name are dropped.
     */
    public void updateWorkers(boolean complete, List<WorkerEndpoint> workers) {
        Set<String> listedIds = new HashSet<>();
        for (WorkerEndpoint worker : workers) {
            listedIds.add(worker.id());
            ConnectionPool pool =
                    pools.computeIfAbsent(
                            worker.id(),
                            id ->
                                    new ConnectionPool(
                                            id,
                                            reactor,
                                            timers,
                                            () -> connectTimeoutMicros,
                                            idleTimeout,
                                            () -> connectLimiter));
            if (pool.address != null && !pool.address.equals(worker.address())) {
                pool.closeIdle();
            }
            pool.address =
                    worker.address() == null
                            ? pool.address
                            : worker.address(); // A worker that is gone may have no address.
            setReady(pool, worker.ready());
        }
        if (complete) {
            pools.values().stream()
                    .filter(candidate -> !listedIds.contains(candidate.workerId))
                    .forEach(candidate -> setReady(candidate, false));
        }
        pools.values().removeIf(candidate -> !candidate.ready && candidate.isUnused());
    }

    private void setReady(ConnectionPool pool, boolean ready) {
        if (ready != pool.ready) {
            Events.info(LOG, ready ? "provider.ready" : "provider.leaving")
                    .addKeyValue("provider", pool.workerId)
                    .log("worker " + pool.workerId + (ready ? " ready" : " takes no new work"));
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

    // ---- Attempts.

    @Override
    public AttemptHandle start(Attempt attempt) {
        ConnectionPool pool = pools.get(attempt.workerId());
        if (pool == null || !pool.ready) {
            tracker.attemptEnded(
                    attempt,
                    AttemptOutcome.NOT_SENT,
                    EndEvidence.of(EndEvidence.Kind.WORKER_NOT_READY));
            return ENDED_UNSENT;
        }
        AttemptRequest request =
                new AttemptRequest(
                        tracker,
                        timers,
                        pool,
                        attempt,
                        fencingTokens.tokenFor(
                                attempt.jobClass(), attempt.tenant(), attempt.workerId()),
                        cancellations);
        pool.activeAttempts++;
        pool.send(request);
        return request;
    }

    /** Whether no attempt is still being cancelled on the wire. */
    public boolean hasNoCancellations() {
        return cancellations.activeCount() == 0;
    }

    /**
     * Whether each worker has been sent, or could not be sent, a first DELETE for every
     * cancellation.
     */
    public boolean allCancellationsAttempted() {
        return cancellations.unattemptedCount() == 0;
    }

    // ---- Probes.

    @Override
    public void probe(String workerId) {
        ConnectionPool pool = pools.get(workerId);
        if (pool == null || !pool.ready) {
            tracker.workerProbed(workerId, false);
            return;
        }
        ProbeRequest probe = new ProbeRequest(pool);
        timers.at(timers.nowMicros() + PROBE_TIMEOUT_MICROS, probe::expire);
        pool.send(probe);
    }

    private final class ProbeRequest extends WorkerRequest {
        private final ConnectionPool pool;

        ProbeRequest(ConnectionPool pool) {
            super(EMPTY_BODY);
            this.pool = pool;
        }

        @Override
        byte[] head() {
            return MessageWriter.request("GET", "/-/healthy")
                    .header("Host", pool.hostHeader())
                    .noBody();
        }

        @Override
        boolean isNewWork() {
            return true;
        }

        @Override
        void onResponse(Message response) {
            tracker.workerProbed(pool.workerId, response.status() == 200);
        }

        @Override
        void onFailure(Failure failure) {
            tracker.workerProbed(pool.workerId, false);
        }

        void expire() {
            if (!finished) {
                if (connection == null) {
                    pool.withdraw(this);
                } else {
                    connection.abort();
                }
                tracker.workerProbed(pool.workerId, false);
            }
        }
    }
}
