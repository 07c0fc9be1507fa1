package postgrade.daemon;

import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.client.CallBackRelay;
import postgrade.client.ClientListener;
import postgrade.discovery.DiscoveryWatch;
import postgrade.discovery.WatchTimeouts;
import postgrade.discovery.WorkerList;
import postgrade.dispatch.RequestObserver;
import postgrade.dispatch.RequestTracker;
import postgrade.extension.DispatcherExtension;
import postgrade.http.SocketBudget;
import postgrade.http.SystemCalls;
import postgrade.lifecycle.Lifecycle;
import postgrade.log.Events;
import postgrade.operator.AdditionalEndpoints;
import postgrade.operator.Operations;
import postgrade.operator.OperatorListener;
import postgrade.policy.TokenBucketDispatchPolicy;
import postgrade.policy.api.DispatchPolicy;
import postgrade.policy.api.PolicyActions;
import postgrade.policy.api.WorkerListUpdateType;
import postgrade.telemetry.AttemptLog;
import postgrade.upgrade.UpgradeCoordinator;
import postgrade.worker.WorkerConnectionPools;

/** One dispatcher: puts the parts together, passes the list on, and stops in order. */
final class Daemon {

    private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);
    private static final long NANOS = 1_000;
    static final long STOP_CHECK_MICROS = 20_000;

    /**
     * In force; and what this process was started with, by which its addresses and descriptors go.
     */
    private Config config;

    private final Config started;
    private final EventLoop loop;
    private final RequestTracker gateway;
    private final WorkerConnectionPools providers;
    private final AttemptLog attemptLog;
    private final ClientListener listener;
    private final DiscoveryWatch watch;
    private final Thread thread;
    private final Lifecycle lifecycle = new Lifecycle();
    private final Workers workers;
    private final OperatorListener operators;
    private final Operating operating;
    private final UpgradeCoordinator upgrade;
    private final Beside beside;
    private final ShutdownSequence ending;
    private final Reload reload;

    /** Null where nothing stands beside this dispatcher. */
    private final DispatcherExtension companion;

    private final Beginning beginning;

    Daemon(Config config) throws IOException, Config.InvalidConfigException {
        this(config, null);
    }

    /**
     * @param plan what is to stand beside it, or null
     */
    Daemon(Config config, DispatcherExtension.Configuration plan)
            throws IOException, Config.InvalidConfigException {
        this(
                config,
                plan,
                actions -> new TokenBucketDispatchPolicy(config.settings, config.seed, actions),
                WatchTimeouts.DEFAULT);
    }

    Daemon(
            Config config,
            DispatcherExtension.Configuration plan,
            Function<PolicyActions, DispatchPolicy> module,
            WatchTimeouts patience)
            throws IOException, Config.InvalidConfigException {
        this(config, plan, module, patience, SystemCalls.REAL);
    }

    /**
     * With another module in the place of ours, another patience with discovery, and other system
     * calls.
     */
    Daemon(
            Config config,
            DispatcherExtension.Configuration plan,
            Function<PolicyActions, DispatchPolicy> module,
            WatchTimeouts patience,
            SystemCalls systemCalls)
            throws IOException, Config.InvalidConfigException {
        this.config = config;
        started = config;
        loop = new EventLoop(new SocketBudget(config.sockets), config.clock, systemCalls);
        gateway =
                new RequestTracker(
                        module,
                        config.settings.allowsConcurrentAttempts,
                        config.mostHeld,
                        loop,
                        (event, message, thrown) ->
                                Events.error(LOG, event).setCause(thrown).log(message));
        providers =
                new WorkerConnectionPools(
                        gateway, loop, loop, config.connectTimeoutMicros, config.idleTimeoutMicros);
        gateway.connectTransport(providers);
        attemptLog = new AttemptLog(loop);
        gateway.observer(attemptLog);
        workers = new Workers(providers, gateway, config.clock);
        upgrade =
                new UpgradeCoordinator(
                        config.shared, config.name + " " + config.listen, loop, loop, new Link());
        Takeover told = Takeover.of(upgrade.join());
        Takeover before =
                told != null
                        ? told
                        : Takeover.left(
                                upgrade.left(), config.clock.unixMillis(), System.nanoTime());
        WorkerList known = before == null || before.list() == null ? config.known : before.list();
        if (before != null) {
            before.tell(workers.roster(), loop.nowMicros() * NANOS);
        }
        if (known != null) {
            workers.list(
                    WorkerListUpdateType.CACHED,
                    known,
                    loop.nowMicros(),
                    WorkerStartTimes.NO_EARLIER_CONTACT);
        }
        beside = new Beside(() -> this.config, loop, gateway, workers, upgrade, told, this::serves);
        if (before != null) {
            beside.shareOut();
            gateway.importFigures(before.learnt());
        }
        try {
            if (upgrade.count() == 0) {
                ClientListener.requireAddressFree(config.listen);
            }
        } catch (IOException e) {
            upgrade.close();
            throw e;
        }
        boolean tookOver = before != null && before.list() != null;
        listener =
                new ClientListener(
                        config.listen,
                        plan != null && !tookOver,
                        config.deadlineMicros,
                        config.tenantNames(),
                        () -> providers.readyCount() > 0,
                        lifecycle,
                        relay(),
                        gateway,
                        loop,
                        loop);
        long version =
                known == null || before != null && !before.follows(config.discovery)
                        ? 0
                        : known.version();
        watch =
                new DiscoveryWatch(
                        config.discovery, config.name, version, patience, loop, loop, this::told);
        companion = plan == null ? null : ExtensionLoader.open(plan, beside);
        if (companion != null) {
            providers.setFencingTokens(companion::fence);
            providers.setConnectLimiter(companion::mayConnect);
            gateway.constraintsChanged(companion.jobConstraints());
            gateway.observer(RequestObserver.both(attemptLog, companion.requestObserver()));
            listener.setExtensionHeaders(companion.extensionHeaders());
        }
        ending =
                new ShutdownSequence(
                        loop,
                        lifecycle,
                        gateway,
                        providers,
                        listener,
                        upgrade,
                        companion,
                        () -> this.config);
        reload = new Reload(gateway, listener, providers, watch);
        operating =
                new Operating(
                        loop, lifecycle, providers, workers, upgrade, ending::check, this::said);
        operators = operators();
        beginning =
                new Beginning(
                        loop,
                        lifecycle,
                        listener,
                        companion,
                        tookOver,
                        patience.startupMicros(),
                        this::sayListening);
        if (before != null && before.standbyAgeMicros() >= 0) {
            lifecycle.enterStandby(loop.nowMicros() - before.standbyAgeMicros());
            ending.check();
        }
        upgrade.serving();
        peersChanged();
        thread = new Thread(null, this::run, "loop");
        if (!listener.reservesAddress()) {
            sayListening();
        }
    }

    private void sayListening() {
        Events.info(LOG, "daemon.listening")
                .addKeyValue("name", started.name)
                .addKeyValue("address", started.listen)
                .addKeyValue("providers", providers.readyCount())
                .log(
                        started.name
                                + " listens on "
                                + started.listen
                                + ", "
                                + providers.readyCount()
                                + " providers known from before");
    }

    int port() throws IOException {
        return listener.port();
    }

    /** The port where operators call. */
    int operatorPort() throws IOException {
        return operators.port();
    }

    void start() {
        thread.start();
    }

    private void run() {
        try {
            loop.execute(
                    () -> { // In the first turn: before it the clock stands where the loop was
                        // made.
                        watch.open();
                        beginning.await();
                    });
            loop.run(
                    new EventLoop.IterationHandler() {
                        @Override
                        public void iterationStarted() {
                            if (companion != null) {
                                companion.iterationStarted();
                            }
                        }

                        @Override
                        public void runBatch() {
                            gateway.runBatch();
                        }

                        @Override
                        public boolean hasPendingWork() {
                            return gateway.hasPendingEvents();
                        }
                    });
            attemptLog.logCounts();
        } catch (IOException | RuntimeException | Error e) {
            // Guards against a process that lives on without its loop: what restarts us must see it
            // die.
            Events.error(LOG, "loop.ended").setCause(e).log("the loop ended");
            Runtime.getRuntime().halt(1);
        }
    }

    private void told(WorkerList list) {
        if (list.complete()) {
            workers.list(
                    WorkerListUpdateType.FULL,
                    list,
                    loop.nowMicros(),
                    WorkerStartTimes.NO_EARLIER_CONTACT);
        } else {
            workers.list(
                    WorkerListUpdateType.DELTA,
                    list,
                    loop.nowMicros(),
                    watch.previousContactMicros());
        }
        if (companion != null) {
            companion.workerListChanged();
        }
        beginning.begin();
    }

    // ---- Other processes of this dispatcher.

    private CallBackRelay relay() {
        return new CallBackRelay() {
            @Override
            public boolean hasPeers() {
                return upgrade.count() > 0;
            }

            @Override
            public void relay(byte[] body, Consumer<Boolean> done) {
                upgrade.callBack(body, done);
            }
        };
    }

    private void peersChanged() {
        loop.sockets().setLimit(started.sockets(1 + upgrade.count()));
        beside.shareOut();
        lifecycle.setSuccessor(upgrade.hasSuccessor());
        listener.applyLifecycle();
        if (companion != null) {
            companion.peersChanged();
        }
    }

    private boolean serves() {
        return lifecycle.servesClients() && providers.readyCount() > 0;
    }

    private OperatorListener operators() throws IOException {
        try {
            return config.operator == null
                    ? null
                    : new OperatorListener(
                            config.operator,
                            operating,
                            companion == null
                                    ? AdditionalEndpoints.NONE
                                    : companion.operatorEndpoints(),
                            loop,
                            loop);
        } catch (IOException e) {
            upgrade.close(); // Guards the process beside us: this one never comes to serve.
            throw e;
        }
    }

    private void said(String worker, boolean out) {
        upgrade.leave(
                Takeover.leave(
                        workers.roster(),
                        loop.nowMicros() * NANOS,
                        config.clock.unixMillis(),
                        System.nanoTime()));
        if (companion != null) {
            companion.workerMaintenanceChanged(worker, out);
        }
    }

    private final class Link implements UpgradeCoordinator.Owner {
        @Override
        public JsonObject snapshot() {
            return Takeover.snapshot(
                    workers.roster(),
                    loop.nowMicros() * NANOS,
                    watch.version(),
                    workers.told(),
                    watch.address(),
                    lifecycle.standbyAgeMicros(loop.nowMicros()),
                    gateway.exportFigures(),
                    companion == null ? "" : companion.handOverState());
        }

        @Override
        public void callBack(byte[] body) {
            listener.handleRelayedCallBack(body);
        }

        @Override
        public void called(String call, String id) {
            operating.carryOut(Operations.Call.valueOf(call), id);
        }

        @Override
        public void peersChanged() {
            Daemon.this.peersChanged();
        }
    }

    // ---- From outside.

    /**
     * Reads the configuration again and takes over what can change under way. May be called from
     * any thread.
     */
    void reload() {
        loop.execute(() -> config = reload.after(config));
    }

    /**
     * Stops in order and returns when all that was taken is answered. May be called from any
     * thread.
     */
    void stop() {
        loop.execute(ending::begin);
        try {
            // Guards against an exit in mid-answer: the virtual machine ends once its shutdown
            // hooks have returned.
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
