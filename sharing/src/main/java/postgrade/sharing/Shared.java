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
import postgrade.sharing.calls.CalendarCalls;
import postgrade.sharing.calls.Calls;
import postgrade.sharing.calls.ReservationCalls;
import postgrade.sharing.calls.SharingCall;
import postgrade.sharing.calls.WindowCalls;
import postgrade.sharing.lease.Reserving;
import postgrade.sharing.memory.Keeper;
import postgrade.sharing.memory.MemoryFile;
import postgrade.sharing.pace.Connecting;
import postgrade.sharing.progress.Admission;
import postgrade.sharing.progress.Progress;
import postgrade.sharing.session.Former;
import postgrade.sharing.session.Late;
import postgrade.sharing.session.Opener;
import postgrade.sharing.session.Outs;
import postgrade.sharing.session.Session;
import postgrade.sharing.settings.SharingSettings;
import postgrade.sharing.window.Opening;
import postgrade.window.CalendarPart;

/** Puts the parts of sharing together, beside one dispatcher. */
final class Shared implements DispatcherExtension {

    private static final Logger LOG = LoggerFactory.getLogger(Shared.class);
    private static final long TICK_MICROS = 50_000;

    /**
     * Above the longest time to a first view that was seen with a quorum there, on a machine ten
     * times overfull.
     */
    private static final long PATIENCE_MICROS = 10_000_000;

    private static final long HOLD_MICROS = 2_000_000;
    private static final long REMEMBERING_MICROS = 1_000_000;

    private final Host host;
    private final Late sharing;
    private final Session session;
    private final Outs outs;
    private final Progress progress;
    private final Keeper keeper;
    private final Calls calls;
    private final Reserving reserving;
    private final Opening opening;
    private final JobConstraints ability;
    private final Connecting connecting;
    private final boolean remembers;
    private final List<Runnable> ticking;
    private String failure;
    private boolean closed;

    /** A view has come, and all parts have gone by it. */
    private boolean knows;

    /**
     * @param aside where files and sockets are opened
     */
    Shared(Host host, SharingSettings settings, Opener opener, Executor aside) {
        this.host = host;
        List<StatePart> parts =
                new ArrayList<>(
                        List.of(
                                new MembershipPart(),
                                new OutOfServicePart(),
                                new LeasePart(LeaseTimes.DEFAULT),
                                new CalendarPart()));
        Former former = Former.of(host.predecessorState());
        sharing =
                new Late(host, former == null ? host.name() : former.name(), parts, opener, aside);
        session =
                new Session(
                        host,
                        sharing,
                        former,
                        terms(settings, host.settings()),
                        settings.cutOffShare());
        outs = new Outs(host, sharing);
        progress =
                new Progress(
                        host,
                        new Recovery.Bounds(
                                settings.viewAgeMicros(), PATIENCE_MICROS, HOLD_MICROS));
        keeper =
                settings.memory() == null
                        ? null
                        : new Keeper(
                                host,
                                new MemoryFile(settings.memory(), host.name()),
                                settings.memoryEveryMicros(),
                                progress::usual,
                                outs::known);
        LearntSnapshot memory = keeper == null ? null : keeper.recall();
        remembers = memory != null;
        if (memory != null) {
            progress.remember(memory.servedShare());
            outs.remember(Keeper.out(memory));
        }
        if (former != null) {
            outs.takeUp(former);
        }
        calls = new Calls(sharing, host.monotonicMicros());
        ReservationCalls.addTo(calls, sharing);
        SharingCall.addTo(
                calls, sharing, session, progress, () -> keeper == null ? null : keeper.fault());
        reserving =
                new Reserving(
                        host,
                        sharing,
                        new FleetSync.AcceleratorConfig(
                                settings.accelerators(), settings.acceleratorsVersion()),
                        settings.reservingClasses(),
                        settings.lends());
        opening = new Opening(host, sharing, aside, settings.windows());
        Set<String> bound = new HashSet<>(settings.reservingClasses());
        settings.windows().classes().forEach(w -> bound.add(w.name()));
        connecting = new Connecting(host, settings.returnMultiple(), bound);
        CalendarCalls.addTo(calls, host, sharing, aside);
        WindowCalls.addTo(calls, host, opening);
        ability =
                new All(
                        List.of(
                                reserving.ability(),
                                opening.ability(),
                                connecting,
                                new Admission(
                                        progress,
                                        host.timers()::nowMicros,
                                        this::ratePerS,
                                        host.name().hashCode())));
        ticking =
                List.of(
                        session::tick,
                        sharing::tick,
                        outs::tick,
                        reserving::tick,
                        opening::tick,
                        keeper == null ? () -> {} : this::keep,
                        this::look);
        tick();
    }

    private static MembershipTerms terms(SharingSettings s, PolicySettings dispatchers) {
        return new MembershipTerms(
                s.places() == 0 ? dispatchers.dispatcherCount : s.places(),
                s.leaseMicros(),
                s.lingerMicros(),
                s.floorShare());
    }

    private void tick() {
        if (closed) {
            return;
        }
        boolean viewed = sharing.view().known();
        // Due again whatever happens now: a share that is not looked at any more would never fall.
        host.timers().at(host.timers().nowMicros() + TICK_MICROS, this::tick);
        for (Runnable part : ticking) {
            try {
                part.run();
            } catch (RuntimeException e) {
                failed(e);
            }
        }
        knows |= viewed;
    }

    @Override
    public boolean isInitialized() {
        return knows;
    }

    /**
     * One that has kept nothing would go by the list alone, and send to workers that operators took
     * out long ago.
     */
    @Override
    public long initTimeoutMicros() {
        return remembers ? REMEMBERING_MICROS : PATIENCE_MICROS;
    }

    /** Guards the log: what fails at each tick is said once. */
    private void failed(RuntimeException e) {
        if (!e.toString().equals(failure)) {
            failure = e.toString();
            Events.error(LOG, "sharing.failed")
                    .setCause(e)
                    .log("a part of sharing failed; the others go on");
        }
    }

    /**
     * The process that has the place has the file too: two that write it would leave neither's
     * whole.
     */
    private void keep() {
        if (host.isOnlyProcess() || sharing.isOpen()) {
            keeper.tick();
        }
    }

    @Override
    public String handOverState() {
        return new Former(
                        sharing.standing().name(),
                        session.incarnation(),
                        outs.known(),
                        outs.words())
                .text();
    }

    /** Of jobs within the tenants' shares, at this process. */
    private double ratePerS() {
        PolicySettings s = host.settings();
        double all = 0;
        for (Tenant t : s.tenants) {
            all += t.ratePerS();
        }
        return all / s.dispatcherCount * session.factor();
    }

    private void look() {
        if (progress.ramp() == null && !host.workers().isEmpty()) {
            progress.ramp(able());
        }
        View view = sharing.view();
        int alive = Member.alive(view.rows(), view.moment().micros());
        progress.look(view.ageMicros(host.timers().nowMicros()), session.joined(), alive);
        connecting.look(alive);
    }

    @Override
    public boolean mayConnect(String worker, boolean must) {
        return connecting.mayConnect(worker, must);
    }

    /**
     * Guards the others' shares: after a pause of this process its own has fallen before anything
     * is taken in by it.
     */
    @Override
    public void iterationStarted() {
        session.look();
    }

    @Override
    public JobConstraints jobConstraints() {
        return ability;
    }

    @Override
    public String fence(String jobClass, String tenant, String worker) {
        return reserving.fence(jobClass, tenant, worker);
    }

    @Override
    public ExtensionHeaders extensionHeaders() {
        return opening.claims();
    }

    @Override
    public RequestObserver requestObserver() {
        return new RequestObserver() {
            @Override
            public void requestAnswered(AnsweredRequest answered) {
                progress.requestAnswered(answered);
                opening.answered(answered.requestId());
            }

            @Override
            public void attemptEnded(EndedAttempt ended) {
                progress.attemptEnded(ended);
                if (ended.outcome() == AttemptOutcome.SERVED) {
                    opening.ran(ended.jobClass(), ended.ranMicros());
                }
            }
        };
    }

    @Override
    public AdditionalEndpoints operatorEndpoints() {
        return calls;
    }

    @Override
    public void workerListChanged() {
        if (keeper != null) {
            keeper.listed();
        }
    }

    /** What the workers can do now, as a part of what they can once all are warm. */
    private double able() {
        PolicySettings s = host.settings();
        long warmMillis = s.slowStartNs / 1_000_000;
        double able = 0;
        double all = 0;
        for (Host.WorkerStatus w : host.workers()) {
            double size = w.weight() > 0 ? w.weight() : 1;
            long upMillis = host.unixMillis().getAsLong() - w.startedMillis();
            all += size;
            able +=
                    w.startedMillis() == 0 || upMillis >= warmMillis
                            ? size
                            : size * s.slowStartInitialShare;
        }
        return able / all;
    }

    @Override
    public void workerMaintenanceChanged(String worker, boolean out) {
        outs.said(worker, out);
    }

    @Override
    public void peersChanged() {
        sharing.tick();
    }

    @Override
    public void close() {
        closed = true;
        if (keeper != null) {
            keeper.close();
        }
        session.leave();
        sharing.close();
    }

    /** For tests. */
    Set<String> out() {
        return outs.known();
    }
}
