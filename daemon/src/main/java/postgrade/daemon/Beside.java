package postgrade.daemon;

import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import postgrade.companion.Host;
import postgrade.dispatch.RequestTracker;
import postgrade.dispatch.Timers;
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
    public void share(double of) {
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
    public LongSupplier micros() {
        return loop.clock()::micros;
    }

    @Override
    public LongSupplier unixMillis() {
        return loop.clock()::unixMillis;
    }

    @Override
    public Executor loop() {
        return loop::execute;
    }

    @Override
    public List<PolicyStateEntry> learnt() {
        return gateway.exportFigures();
    }

    @Override
    public void learn(List<PolicyStateEntry> all) {
        gateway.importFigures(all);
    }

    @Override
    public boolean tookOver() {
        return told != null;
    }

    @Override
    public String told() {
        return told == null ? "" : told.beside();
    }

    @Override
    public boolean alone() {
        return upgrade.count() == 0;
    }

    @Override
    public boolean ready() {
        return ready.getAsBoolean();
    }

    @Override
    public List<Known> workers() {
        return workers.known();
    }

    @Override
    public boolean connected(String id) {
        return workers.providers().hasConnection(id);
    }

    @Override
    public boolean anyConnected(int fewerThan) {
        return workers.providers().hasConnectedWorkerBelow(fewerThan);
    }

    @Override
    public long keptMicros() {
        return workers.providers().maxIdleMicros();
    }

    @Override
    public boolean takeOut(String id) {
        return workers.takeOut(loop.nowMicros(), id);
    }

    @Override
    public boolean putBack(String id) {
        return workers.putBack(loop.nowMicros(), id);
    }
}
