package postgrade.daemon;

import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import postgrade.dispatch.RequestTracker;
import postgrade.dispatch.Timers;
import postgrade.extension.Host;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.PolicyStateEntry;
import postgrade.upgrade.UpgradeCoordinator;

/**
 * The dispatcher as seen by its extension. The only place where the extension's rate factor is
 * combined with the split of rates between processes during an upgrade.
 */
final class ExtensionHost implements Host {

    private final Supplier<Config> config;
    private final EventLoop loop;
    private final RequestTracker requestTracker;
    private final WorkerDirectory workers;
    private final UpgradeCoordinator upgrade;
    private final HandoverState handover;
    private final BooleanSupplier serving;
    private double shareFactor = 1;

    /**
     * Creates the extension's view of this dispatcher.
     *
     * @param handover state received from the running process, or null
     */
    ExtensionHost(
            Supplier<Config> config,
            EventLoop loop,
            RequestTracker requestTracker,
            WorkerDirectory workers,
            UpgradeCoordinator upgrade,
            HandoverState handover,
            BooleanSupplier serving) {
        this.config = config;
        this.loop = loop;
        this.requestTracker = requestTracker;
        this.workers = workers;
        this.upgrade = upgrade;
        this.handover = handover;
        this.serving = serving;
    }

    /**
     * Sends the policy its share of the rates: that of the dispatcher, divided by the number of its
     * processes.
     */
    void updatePolicyShare() {
        requestTracker.shareChanged(shareFactor / (1 + upgrade.peerCount()));
    }

    @Override
    public void setRateFactor(double newFactor) {
        if (shareFactor != newFactor) {
            shareFactor = newFactor;
            updatePolicyShare();
        }
    }

    @Override
    public String name() {
        return config.get().name;
    }

    @Override
    public PolicySettings settings() {
        return config.get().settings;
    }

    @Override
    public Timers timers() {
        return loop;
    }

    @Override
    public LongSupplier monotonicMicros() {
        return loop.clock()::micros;
    }

    @Override
    public LongSupplier unixMillis() {
        return loop.clock()::unixMillis;
    }

    @Override
    public Executor loopExecutor() {
        return loop::execute;
    }

    @Override
    public List<PolicyStateEntry> exportPolicyState() {
        return requestTracker.exportFigures();
    }

    @Override
    public void importPolicyState(List<PolicyStateEntry> all) {
        requestTracker.importFigures(all);
    }

    @Override
    public boolean startedByHandOver() {
        return handover != null;
    }

    @Override
    public String predecessorState() {
        return handover == null ? "" : handover.extensionState();
    }

    @Override
    public boolean isOnlyProcess() {
        return upgrade.peerCount() == 0;
    }

    @Override
    public boolean isReady() {
        return serving.getAsBoolean();
    }

    @Override
    public List<WorkerStatus> workers() {
        return workers.extensionView();
    }

    @Override
    public boolean isConnected(String id) {
        return workers.pools().hasConnection(id);
    }

    @Override
    public boolean anyConnectedWithCallsBelow(int fewerThan) {
        return workers.pools().hasConnectedWorkerBelow(fewerThan);
    }

    @Override
    public long maxIdleMicros() {
        return workers.pools().maxIdleMicros();
    }

    @Override
    public boolean enterMaintenance(String id) {
        return workers.enterMaintenance(loop.nowMicros(), id);
    }

    @Override
    public boolean exitMaintenance(String id) {
        return workers.exitMaintenance(loop.nowMicros(), id);
    }
}
