package postgrade.sharing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.dispatch.AnsweredRequest;
import postgrade.dispatch.EndedAttempt;
import postgrade.dispatch.ExtensionHeaders;
import postgrade.dispatch.RequestObserver;
import postgrade.extension.DispatcherExtension;
import postgrade.extension.Host;
import postgrade.lease.FleetSync;
import postgrade.lease.LeasePart;
import postgrade.lease.LeaseTimes;
import postgrade.log.Events;
import postgrade.member.Member;
import postgrade.member.MembershipPart;
import postgrade.member.MembershipTerms;
import postgrade.member.OutOfServicePart;
import postgrade.operator.AdditionalEndpoints;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.JobConstraints;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.Tenant;
import postgrade.recovery.LearntSnapshot;
import postgrade.recovery.Recovery;
import postgrade.shared.StatePart;
import postgrade.shared.View;
import postgrade.sharing.endpoints.CalendarEndpoint;
import postgrade.sharing.endpoints.OperatorEndpoints;
import postgrade.sharing.endpoints.ReservationEndpoints;
import postgrade.sharing.endpoints.SharingStatusEndpoint;
import postgrade.sharing.endpoints.WindowEndpoint;
import postgrade.sharing.lease.Reservations;
import postgrade.sharing.pacing.ConnectionPacing;
import postgrade.sharing.progress.RampAdmission;
import postgrade.sharing.progress.RecoveryProgress;
import postgrade.sharing.session.DeferredState;
import postgrade.sharing.session.HandOverState;
import postgrade.sharing.session.MaintenanceSync;
import postgrade.sharing.session.MembershipSession;
import postgrade.sharing.session.StateOpener;
import postgrade.sharing.settings.SharingSettings;
import postgrade.sharing.snapshot.SnapshotFile;
import postgrade.sharing.snapshot.SnapshotStore;
import postgrade.sharing.window.DispatcherWindows;
import postgrade.window.CalendarPart;

/** Puts the parts of sharing together, beside one dispatcher. */
final class SharingExtension implements DispatcherExtension {

    private static final Logger LOG = LoggerFactory.getLogger(SharingExtension.class);
    private static final long TICK_INTERVAL_MICROS = 50_000;

    /**
     * Above the longest time to a first view that was seen with a quorum there, on a machine ten
     * times overfull.
     */
    private static final long INIT_TIMEOUT_MICROS = 10_000_000;

    private static final long FULL_SERVICE_HOLD_MICROS = 2_000_000;
    private static final long INIT_TIMEOUT_WITH_SNAPSHOT_MICROS = 1_000_000;

    private final Host host;
    private final DeferredState state;
    private final MembershipSession session;
    private final MaintenanceSync maintenance;
    private final RecoveryProgress progress;
    private final SnapshotStore snapshotStore;
    private final OperatorEndpoints endpoints;
    private final Reservations reservations;
    private final DispatcherWindows startWindows;
    private final JobConstraints constraints;
    private final ConnectionPacing connectionPacing;
    private final boolean hasSnapshot;
    private final List<Runnable> tickTasks;
    private String lastFailure;
    private boolean closed;

    /** A view has come, and all parts have gone by it. */
    private boolean initialized;

    /**
     * @param aside where files and sockets are opened
     */
    SharingExtension(
            Host host, SharingSettings settings, StateOpener opener, Executor blockingExecutor) {
        this.host = host;
        List<StatePart> parts =
                new ArrayList<>(
                        List.of(
                                new MembershipPart(),
                                new OutOfServicePart(),
                                new LeasePart(LeaseTimes.DEFAULT),
                                new CalendarPart()));
        HandOverState predecessor = HandOverState.parse(host.predecessorState());
        state =
                new DeferredState(
                        host,
                        predecessor == null ? host.name() : predecessor.name(),
                        parts,
                        opener,
                        blockingExecutor);
        session =
                new MembershipSession(
                        host,
                        state,
                        predecessor,
                        membershipTerms(settings, host.settings()),
                        settings.cutOffShare());
        maintenance = new MaintenanceSync(host, state);
        progress =
                new RecoveryProgress(
                        host,
                        new Recovery.Bounds(
                                settings.maxViewAgeMicros(),
                                INIT_TIMEOUT_MICROS,
                                FULL_SERVICE_HOLD_MICROS));
        snapshotStore =
                settings.snapshotFolder() == null
                        ? null
                        : new SnapshotStore(
                                host,
                                new SnapshotFile(settings.snapshotFolder(), host.name()),
                                settings.snapshotIntervalMicros(),
                                progress::longTermServedShare,
                                maintenance::outOfService);
        LearntSnapshot snapshot = snapshotStore == null ? null : snapshotStore.load();
        hasSnapshot = snapshot != null;
        if (snapshot != null) {
            progress.restoreBaseline(snapshot.servedShare());
            maintenance.restore(SnapshotStore.outOfService(snapshot));
        }
        if (predecessor != null) {
            maintenance.adopt(predecessor);
        }
        endpoints = new OperatorEndpoints(state, host.monotonicMicros());
        ReservationEndpoints.addTo(endpoints, state);
        SharingStatusEndpoint.addTo(
                endpoints,
                state,
                session,
                progress,
                () -> snapshotStore == null ? null : snapshotStore.fault());
        reservations =
                new Reservations(
                        host,
                        state,
                        new FleetSync.AcceleratorConfig(
                                settings.accelerators(), settings.acceleratorsVersion()),
                        settings.reservingClasses(),
                        settings.lendsReserved());
        startWindows = new DispatcherWindows(host, state, blockingExecutor, settings.windows());
        Set<String> exemptClasses = new HashSet<>(settings.reservingClasses());
        settings.windows().classes().forEach(w -> exemptClasses.add(w.name()));
        connectionPacing =
                new ConnectionPacing(host, settings.connectRateMultiple(), exemptClasses);
        CalendarEndpoint.addTo(endpoints, host, state, blockingExecutor);
        WindowEndpoint.addTo(endpoints, host, startWindows);
        constraints =
                new CompositeConstraints(
                        List.of(
                                reservations.constraints(),
                                startWindows.constraints(),
                                connectionPacing,
                                new RampAdmission(
                                        progress,
                                        host.timers()::nowMicros,
                                        this::ratePerS,
                                        host.name().hashCode())));
        tickTasks =
                List.of(
                        session::tick,
                        state::tick,
                        maintenance::tick,
                        reservations::tick,
                        startWindows::tick,
                        snapshotStore == null ? () -> {} : this::tickSnapshotStore,
                        this::updateProgress);
        tick();
    }

    private static MembershipTerms membershipTerms(SharingSettings sharing, PolicySettings policy) {
        return new MembershipTerms(
                sharing.places() == 0 ? policy.dispatcherCount : sharing.places(),
                sharing.leaseMicros(),
                sharing.lingerMicros(),
                sharing.floorShare());
    }

    private void tick() {
        if (closed) {
            return;
        }
        boolean viewKnown = state.view().known();
        // Due again whatever happens now: a share that is not looked at any more would never fall.
        host.timers().at(host.timers().nowMicros() + TICK_INTERVAL_MICROS, this::tick);
        for (Runnable task : tickTasks) {
            try {
                task.run();
            } catch (RuntimeException e) {
                logFailure(e);
            }
        }
        initialized |= viewKnown;
    }

    @Override
    public boolean isInitialized() {
        return initialized;
    }

    /**
     * One that has kept nothing would go by the list alone, and send to workers that operators took
     * out long ago.
     */
    @Override
    public long initTimeoutMicros() {
        return hasSnapshot ? INIT_TIMEOUT_WITH_SNAPSHOT_MICROS : INIT_TIMEOUT_MICROS;
    }

    /** Guards the log: what fails at each tick is said once. */
    private void logFailure(RuntimeException e) {
        if (!e.toString().equals(lastFailure)) {
            lastFailure = e.toString();
            Events.error(LOG, "sharing.failed")
                    .setCause(e)
                    .log("a part of sharing failed; the others go on");
        }
    }

    /**
     * The process that has the place has the file too: two that write it would leave neither's
     * whole.
     */
    private void tickSnapshotStore() {
        if (host.isOnlyProcess() || state.isOpen()) {
            snapshotStore.tick();
        }
    }

    @Override
    public String handOverState() {
        return new HandOverState(
                        state.standing().name(),
                        session.incarnation(),
                        maintenance.outOfService(),
                        maintenance.pendingChanges())
                .toJson();
    }

    /** Of jobs within the tenants' shares, at this process. */
    private double ratePerS() {
        PolicySettings s = host.settings();
        double totalRatePerS = 0;
        for (Tenant t : s.tenants) {
            totalRatePerS += t.ratePerS();
        }
        return totalRatePerS / s.dispatcherCount * session.rateFactor();
    }

    private void updateProgress() {
        if (progress.ramp() == null && !host.workers().isEmpty()) {
            progress.startRamp(warmShare());
        }
        View view = state.view();
        int aliveMembers = Member.alive(view.rows(), view.moment().micros());
        progress.update(
                view.ageMicros(host.timers().nowMicros()), session.isJoined(), aliveMembers);
        connectionPacing.update(aliveMembers);
    }

    @Override
    public boolean mayConnect(String worker, boolean must) {
        return connectionPacing.mayConnect(worker, must);
    }

    /**
     * Guards the others' shares: after a pause of this process its own has fallen before anything
     * is taken in by it.
     */
    @Override
    public void iterationStarted() {
        session.updateRateFactor();
    }

    @Override
    public JobConstraints jobConstraints() {
        return constraints;
    }

    @Override
    public String fence(String jobClass, String tenant, String worker) {
        return reservations.fence(jobClass, tenant, worker);
    }

    @Override
    public ExtensionHeaders extensionHeaders() {
        return startWindows.extensionHeaders();
    }

    @Override
    public RequestObserver requestObserver() {
        return new RequestObserver() {
            @Override
            public void requestAnswered(AnsweredRequest answered) {
                progress.requestAnswered(answered);
                startWindows.requestAnswered(answered.requestId());
            }

            @Override
            public void attemptEnded(EndedAttempt ended) {
                progress.attemptEnded(ended);
                if (ended.outcome() == AttemptOutcome.SERVED) {
                    startWindows.recordDuration(ended.jobClass(), ended.ranMicros());
                }
            }
        };
    }

    @Override
    public AdditionalEndpoints operatorEndpoints() {
        return endpoints;
    }

    @Override
    public void workerListChanged() {
        if (snapshotStore != null) {
            snapshotStore.workerListChanged();
        }
    }

    /** What the workers can do now, as a part of what they can once all are warm. */
    private double warmShare() {
        PolicySettings s = host.settings();
        long slowStartMillis = s.slowStartNs / 1_000_000;
        double usableWeight = 0;
        double totalWeight = 0;
        for (Host.WorkerStatus w : host.workers()) {
            double weight = w.weight() > 0 ? w.weight() : 1;
            long uptimeMillis = host.unixMillis().getAsLong() - w.startedMillis();
            totalWeight += weight;
            usableWeight +=
                    w.startedMillis() == 0 || uptimeMillis >= slowStartMillis
                            ? weight
                            : weight * s.slowStartInitialShare;
        }
        return usableWeight / totalWeight;
    }

    @Override
    public void workerMaintenanceChanged(String worker, boolean out) {
        maintenance.changedByOperator(worker, out);
    }

    @Override
    public void peersChanged() {
        state.tick();
    }

    @Override
    public void close() {
        closed = true;
        if (snapshotStore != null) {
            snapshotStore.close();
        }
        session.leave();
        state.close();
    }

    /** For tests. */
    Set<String> outOfService() {
        return maintenance.outOfService();
    }
}
