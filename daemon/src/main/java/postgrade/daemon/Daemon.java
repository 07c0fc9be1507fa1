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

/**
 * One dispatcher: creates and connects its components, forwards worker list updates, and stops
 * gracefully.
 */
final class Daemon {

    private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);
    private static final long NANOS_PER_MICRO = 1_000;
    static final long SHUTDOWN_CHECK_INTERVAL_MICROS = 20_000;

    /**
     * The configuration in force. {@link #startConfig} is the one that the process started with,
     * which determines its addresses and descriptors.
     */
    private Config config;

    private final Config startConfig;
    private final EventLoop loop;
    private final RequestTracker requestTracker;
    private final WorkerConnectionPools workerPools;
    private final AttemptLog attemptLog;
    private final ClientListener listener;
    private final DiscoveryWatch discoveryWatch;
    private final Thread thread;
    private final Lifecycle lifecycle = new Lifecycle();
    private final WorkerDirectory workers;
    private final OperatorListener operatorListener;
    private final OperatorActions operatorActions;
    private final UpgradeCoordinator upgrade;
    private final ExtensionHost extensionHost;
    private final ShutdownSequence shutdown;
    private final ConfigReloader reloader;

    /** Null if no extension is configured. */
    private final DispatcherExtension extension;

    private final StartupGate startupGate;

    Daemon(Config config) throws IOException, Config.InvalidConfigException {
        this(config, null);
    }

    /**
     * Creates a dispatcher with the default policy.
     *
     * @param extensionConfiguration configuration of its extension, or null
     */
    Daemon(Config config, DispatcherExtension.Configuration extensionConfiguration)
            throws IOException, Config.InvalidConfigException {
        this(
                config,
                extensionConfiguration,
                actions -> new TokenBucketDispatchPolicy(config.settings, config.seed, actions),
                WatchTimeouts.DEFAULT);
    }

    Daemon(
            Config config,
            DispatcherExtension.Configuration extensionConfiguration,
            Function<PolicyActions, DispatchPolicy> policyFactory,
            WatchTimeouts watchTimeouts)
            throws IOException, Config.InvalidConfigException {
        this(config, extensionConfiguration, policyFactory, watchTimeouts, SystemCalls.REAL);
    }

    /** Creates a dispatcher with the given policy, discovery timeouts and system calls. */
    Daemon(
            Config config,
            DispatcherExtension.Configuration extensionConfiguration,
            Function<PolicyActions, DispatchPolicy> policyFactory,
            WatchTimeouts watchTimeouts,
            SystemCalls systemCalls)
            throws IOException, Config.InvalidConfigException {
        this.config = config;
        startConfig = config;
        loop = new EventLoop(new SocketBudget(config.socketLimit), config.clock, systemCalls);
        requestTracker =
                new RequestTracker(
                        policyFactory,
                        config.settings.allowsConcurrentAttempts,
                        config.maxHeldJobs,
                        loop,
                        (event, message, thrown) ->
                                Events.error(LOG, event).setCause(thrown).log(message));
        workerPools =
                new WorkerConnectionPools(
                        requestTracker,
                        loop,
                        loop,
                        config.connectTimeoutMicros,
                        config.idleTimeoutMicros);
        requestTracker.connectTransport(workerPools);
        attemptLog = new AttemptLog(loop);
        requestTracker.observer(attemptLog);
        workers = new WorkerDirectory(workerPools, requestTracker, config.clock);
        upgrade =
                new UpgradeCoordinator(
                        config.sharedDirectory,
                        config.name + " " + config.listenAddress,
                        loop,
                        loop,
                        new UpgradeOwner());
        requestTracker.announceBegunRequests(upgrade::announceBegun);
        HandoverState received = HandoverState.fromSnapshot(upgrade.join());
        HandoverState handover =
                received != null
                        ? received
                        : HandoverState.fromHandoverFile(
                                upgrade.readHandoverFile(),
                                config.clock.unixMillis(),
                                System.nanoTime());
        WorkerList knownWorkers =
                handover == null || handover.workerList() == null
                        ? config.cachedWorkers
                        : handover.workerList();
        if (handover != null) {
            handover.applyOverrides(workers.registry(), loop.nowMicros() * NANOS_PER_MICRO);
        }
        if (knownWorkers != null) {
            workers.applyList(
                    WorkerListUpdateType.CACHED,
                    knownWorkers,
                    loop.nowMicros(),
                    WorkerStartTimes.NO_EARLIER_CONTACT);
        }
        extensionHost =
                new ExtensionHost(
                        () -> this.config,
                        loop,
                        requestTracker,
                        workers,
                        upgrade,
                        received,
                        this::isServing);
        if (handover != null) {
            extensionHost.updatePolicyShare();
            requestTracker.importFigures(handover.learntFigures());
        }
        try {
            if (upgrade.peerCount() == 0) {
                ClientListener.requireAddressFree(config.listenAddress);
            }
        } catch (IOException e) {
            upgrade.close();
            throw e;
        }
        boolean tookOver = handover != null && handover.workerList() != null;
        listener =
                new ClientListener(
                        config.listenAddress,
                        extensionConfiguration != null && !tookOver,
                        config.deadlineMicros,
                        config.tenantNames(),
                        () -> workerPools.readyCount() > 0,
                        lifecycle,
                        peerRelay(),
                        requestTracker,
                        loop,
                        loop);
        long version =
                knownWorkers == null
                                || handover != null
                                        && !handover.isFromDiscovery(config.discoveryAddress)
                        ? 0
                        : knownWorkers.version();
        discoveryWatch =
                new DiscoveryWatch(
                        config.discoveryAddress,
                        config.name,
                        version,
                        watchTimeouts,
                        loop,
                        loop,
                        this::workerListReceived);
        extension =
                extensionConfiguration == null
                        ? null
                        : ExtensionLoader.open(extensionConfiguration, extensionHost);
        if (extension != null) {
            workerPools.setFencingTokens(extension::fence);
            workerPools.setConnectLimiter(extension::mayConnect);
            requestTracker.constraintsChanged(extension.jobConstraints());
            requestTracker.observer(RequestObserver.both(attemptLog, extension.requestObserver()));
            listener.setExtensionHeaders(extension.extensionHeaders());
        }
        shutdown =
                new ShutdownSequence(
                        loop,
                        lifecycle,
                        requestTracker,
                        workerPools,
                        listener,
                        upgrade,
                        extension,
                        () -> this.config);
        reloader = new ConfigReloader(requestTracker, listener, workerPools, discoveryWatch);
        operatorActions =
                new OperatorActions(
                        loop,
                        lifecycle,
                        workerPools,
                        workers,
                        upgrade,
                        shutdown::scheduleCheck,
                        this::workerOverridden);
        operatorListener = openOperatorListener();
        startupGate =
                new StartupGate(
                        loop,
                        lifecycle,
                        listener,
                        extension,
                        tookOver,
                        watchTimeouts.startupMicros(),
                        this::logListening);
        if (handover != null && handover.standbyAgeMicros() >= 0) {
            lifecycle.enterStandby(loop.nowMicros() - handover.standbyAgeMicros());
            shutdown.scheduleCheck();
        }
        upgrade.announceServing();
        peersChanged();
        thread = new Thread(null, this::run, "loop");
        if (!listener.reservesAddress()) {
            logListening();
        }
    }

    private void logListening() {
        Events.info(LOG, "daemon.listening")
                .addKeyValue("name", startConfig.name)
                .addKeyValue("address", startConfig.listenAddress)
                .addKeyValue("providers", workerPools.readyCount())
                .log(
                        startConfig.name
                                + " listens on "
                                + startConfig.listenAddress
                                + ", "
                                + workerPools.readyCount()
                                + " workers known from before the start");
    }

    int port() throws IOException {
        return listener.port();
    }

    /** Returns the port for operator calls. */
    int operatorPort() throws IOException {
        return operatorListener.port();
    }

    void start() {
        thread.start();
    }

    private void run() {
        try {
            // In the first iteration: until then the loop's clock shows the time at which the loop
            // was created.
            loop.execute(
                    () -> {
                        discoveryWatch.open();
                        startupGate.startWaiting();
                    });
            loop.run(
                    new EventLoop.IterationHandler() {
                        @Override
                        public void iterationStarted() {
                            if (extension != null) {
                                extension.iterationStarted();
                            }
                        }

                        @Override
                        public void runBatch() {
                            requestTracker.runBatch();
                        }

                        @Override
                        public boolean hasPendingWork() {
                            return requestTracker.hasPendingEvents();
                        }
                    });
            attemptLog.logCounts();
        } catch (IOException | RuntimeException | Error e) {
            // A process must not live on without its loop: it exits so that its supervisor restarts
            // it.
            Events.error(LOG, "loop.ended").setCause(e).log("the event loop ended");
            Runtime.getRuntime().halt(1);
        }
    }

    private void workerListReceived(WorkerList list) {
        if (list.complete()) {
            workers.applyList(
                    WorkerListUpdateType.FULL,
                    list,
                    loop.nowMicros(),
                    WorkerStartTimes.NO_EARLIER_CONTACT);
        } else {
            workers.applyList(
                    WorkerListUpdateType.DELTA,
                    list,
                    loop.nowMicros(),
                    discoveryWatch.previousContactMicros());
        }
        if (extension != null) {
            extension.workerListChanged();
        }
        startupGate.openIfReady();
    }

    // ---- Other processes of this dispatcher.

    private CallBackRelay peerRelay() {
        return new CallBackRelay() {
            @Override
            public boolean hasPeers() {
                return upgrade.peerCount() > 0;
            }

            @Override
            public void receivePending() {
                upgrade.receivePending();
            }

            @Override
            public void relay(byte[] body, Consumer<Boolean> done) {
                upgrade.relayCallBack(body, done);
            }
        };
    }

    private void peersChanged() {
        loop.sockets().setLimit(startConfig.socketLimitFor(1 + upgrade.peerCount()));
        extensionHost.updatePolicyShare();
        lifecycle.setSuccessor(upgrade.hasSuccessor());
        listener.applyLifecycle();
        if (extension != null) {
            extension.peersChanged();
        }
    }

    private boolean isServing() {
        return lifecycle.servesClients() && workerPools.readyCount() > 0;
    }

    private OperatorListener openOperatorListener() throws IOException {
        try {
            return config.operatorAddress == null
                    ? null
                    : new OperatorListener(
                            config.operatorAddress,
                            operatorActions,
                            extension == null
                                    ? AdditionalEndpoints.NONE
                                    : extension.operatorEndpoints(),
                            loop,
                            loop);
        } catch (IOException e) {
            // This process will not serve; its socket is removed so that no other connects to it.
            upgrade.close();
            throw e;
        }
    }

    private void workerOverridden(String worker, boolean disabled) {
        upgrade.writeHandoverFile(
                HandoverState.handoverFileContent(
                        workers.registry(),
                        loop.nowMicros() * NANOS_PER_MICRO,
                        config.clock.unixMillis(),
                        System.nanoTime()));
        if (extension != null) {
            extension.workerMaintenanceChanged(worker, disabled);
        }
    }

    private final class UpgradeOwner implements UpgradeCoordinator.Owner {
        @Override
        public JsonObject snapshot() {
            return HandoverState.snapshot(
                    workers.registry(),
                    loop.nowMicros() * NANOS_PER_MICRO,
                    discoveryWatch.version(),
                    workers.listedWorkers(),
                    discoveryWatch.address(),
                    lifecycle.standbyAgeMicros(loop.nowMicros()),
                    requestTracker.exportFigures(),
                    extension == null ? "" : extension.handOverState());
        }

        @Override
        public long[] begunRequests() {
            return requestTracker.exportBegunRequests();
        }

        @Override
        public void begunElsewhere(long[] fingerprints) {
            requestTracker.importBegunRequests(fingerprints);
        }

        @Override
        public void callBackRelayed(byte[] body) {
            listener.handleRelayedCallBack(body);
        }

        @Override
        public void operatorCallRelayed(String call, String id) {
            operatorActions.execute(Operations.Call.valueOf(call), id);
        }

        @Override
        public void peersChanged() {
            Daemon.this.peersChanged();
        }
    }

    // ---- Called from other threads.

    /**
     * Reads the configuration again and applies the settings that can change while the daemon runs.
     * May be called from any thread.
     */
    void reload() {
        loop.execute(() -> config = reloader.reload(config));
    }

    /**
     * Stops gracefully and returns once all accepted jobs are answered. May be called from any
     * thread.
     */
    void stop() {
        loop.execute(shutdown::begin);
        try {
            // The JVM exits once its shutdown hooks have returned, so this call waits until all
            // answers are written.
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
