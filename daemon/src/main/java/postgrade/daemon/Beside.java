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
 * What the companion gets to see, and the one place where its part of the rates meets that of an
 * upgrade.
 */
final class Beside implements Host {

    private final Supplier<Config> config;
    private final EventLoop loop;
    private final RequestTracker gateway;
    private final Workers workers;
    private final UpgradeCoordinator upgrade;
    private final Takeover told;
    private final BooleanSupplier ready;
    private double factor = 1;

    /**
     * @param told what a running process has told, or null
     */
    Beside(
            Supplier<Config> config,
            EventLoop loop,
            RequestTracker gateway,
            Workers workers,
            UpgradeCoordinator upgrade,
            Takeover told,
            BooleanSupplier ready) {
        this.config = config;
        this.loop = loop;
        this.gateway = gateway;
        this.workers = workers;
        this.upgrade = upgrade;
        this.told = told;
        this.ready = ready;
    }

    /** Tells the module its part anew: that of the dispatcher, split over its processes. */
    void shareOut() {
        gateway.shareChanged(factor / (1 + upgrade.count()));
    }

    @Override
    public void setRateFactor(double of) {
        if (factor != of) {
            factor = of;
            shareOut();
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
        return gateway.exportFigures();
    }

    @Override
    public void importPolicyState(List<PolicyStateEntry> all) {
        gateway.importFigures(all);
    }

    @Override
    public boolean startedByHandOver() {
        return told != null;
    }

    @Override
    public String predecessorState() {
        return told == null ? "" : told.beside();
    }

    @Override
    public boolean isOnlyProcess() {
        return upgrade.count() == 0;
    }

    @Override
    public boolean isReady() {
        return ready.getAsBoolean();
    }

    @Override
    public List<WorkerStatus> workers() {
        return workers.known();
    }

    @Override
    public boolean isConnected(String id) {
        return workers.providers().hasConnection(id);
    }

    @Override
    public boolean anyConnectedWithCallsBelow(int fewerThan) {
        return workers.providers().hasConnectedWorkerBelow(fewerThan);
    }

    @Override
    public long maxIdleMicros() {
        return workers.providers().maxIdleMicros();
    }

    @Override
    public boolean enterMaintenance(String id) {
        return workers.takeOut(loop.nowMicros(), id);
    }

    @Override
    public boolean exitMaintenance(String id) {
        return workers.putBack(loop.nowMicros(), id);
    }
}
