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

/** Joins one dispatcher to the shared state and assembles the components that use it. */
final class SharingExtension implements DispatcherExtension {

    private static final Logger LOG = LoggerFactory.getLogger(SharingExtension.class);
    private static final long TICK_INTERVAL_MICROS = 50_000;

    /**
     * How long the dispatcher waits for its first view. This is longer than the longest time to a
     * first view that occurred with a quorum present, on a machine with ten times the load that it
     * can carry.
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

    /** A view has arrived, and all components have been updated from it. */
    private boolean initialized;

    /**
     * Opens the shared state and starts the periodic tick.
     *
     * @param blockingExecutor runs the opening of files and sockets, which may block
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
        // Reschedules first, whatever fails below: a share that is no longer updated would never
        // fall.
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
     * Returns how long the dispatcher waits for its first view. Without a snapshot it waits longer:
     * it would rely on the discovery list alone and send jobs to workers that operators put into
     * maintenance long ago.
     */
    @Override
    public long initTimeoutMicros() {
        return hasSnapshot ? INIT_TIMEOUT_WITH_SNAPSHOT_MICROS : INIT_TIMEOUT_MICROS;
    }

    /**
     * Logs a failure once rather than at each tick, so that a persistent failure does not flood the
     * log.
     */
    private void logFailure(RuntimeException e) {
        if (!e.toString().equals(lastFailure)) {
            lastFailure = e.toString();
            Events.error(LOG, "sharing.failed")
                    .setCause(e)
                    .log("a component of sharing failed; the others continue");
        }
    }

    /**
     * Writes the snapshot only in the process that owns the membership: two processes writing the
     * same file would corrupt it.
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

    /** Returns the rate of jobs, within the quotas of all tenants, that this process may admit. */
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
     * Updates the share before anything is admitted, so that after a pause this process does not
     * use a share that other members have been granted meanwhile.
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

    /** Returns the capacity of the workers now, relative to their capacity once all are warm. */
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

    /** Returns the workers in maintenance; used by tests. */
    Set<String> outOfService() {
        return maintenance.outOfService();
    }
}
