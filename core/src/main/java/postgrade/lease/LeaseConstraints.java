package postgrade.lease;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import postgrade.lease.ReservationView.Use;
import postgrade.policy.api.Idempotency;
import postgrade.policy.api.Job;
import postgrade.policy.api.JobConstraints;
import postgrade.policy.api.WorkerInfo;
import postgrade.shared.View;

/**
 * Applies reservations to the choice of workers. A holder's jobs of a reserving class use its
 * accelerators first; for all other jobs a worker's usable share is reduced by what is reserved of
 * it. A stale view removes the privilege but never makes a worker unusable: it costs a feature and
 * never an answer. Jobs that must not run twice are never limited by reservations.
 */
public final class LeaseConstraints implements JobConstraints {

    /**
     * The share of a worker that remains usable for jobs that need no accelerator, however much of
     * it is reserved.
     */
    static final double MIN_USABLE_SHARE = 0.05;

    /**
     * Reduces other workers for a holder's jobs: its own workers fill up first and the overflow
     * goes to the others.
     */
    static final double OTHER_WORKER_FACTOR = 0.25;

    /**
     * The rules from the settings.
     *
     * @param reserving classes whose jobs use reserved accelerators
     * @param idempotency of all classes; a class that must not run twice cannot be a reserving one
     * @param lends whether reserved accelerators are lent to jobs that may be repeated and end
     *     before the holder needs them
     */
    public record Rules(
            Set<String> reserving, Map<String, Idempotency> idempotency, boolean lends) {
        public Rules {
            reserving = Set.copyOf(reserving);
            idempotency = Map.copyOf(idempotency);
            for (String name : reserving) {
                if (!idempotency.containsKey(name)) {
                    throw new IllegalArgumentException("reserving: there is no class " + name);
                }
                if (idempotency.get(name) == Idempotency.NOT_IDEMPOTENT) {
                    throw new IllegalArgumentException(
                            "reserving: "
                                    + name
                                    + " must not run twice and so cannot"
                                    + " depend on reservations");
                }
            }
        }
    }

    private final Supplier<View> views;
    private final LeaseTimes times;
    private final Rules rules;
    private ReservationView reservations;

    public LeaseConstraints(Supplier<View> views, LeaseTimes times, Rules rules) {
        this.views = views;
        this.times = times;
        this.rules = rules;
        reservations = new ReservationView(View.NONE, times);
    }

    /**
     * The reservations of the latest view. A view that only confirms the former rows is indexed
     * again too: views arrive seldom.
     */
    ReservationView reservations() {
        View view = views.get();
        if (view != reservations.view()) {
            reservations = new ReservationView(view, times);
        }
        return reservations;
    }

    @Override
    public double usableShare(long nowNs, Job job, WorkerInfo worker) {
        ReservationView view = reservations();
        long accelerators = view.accelerators(worker.id());
        if (accelerators == 0
                || rules.idempotency.get(job.jobClass()) == Idempotency.NOT_IDEMPOTENT) {
            return 1;
        }
        long nowMicros = nowNs / 1000;
        boolean fresh = view.fresh(nowMicros);
        boolean reserving = rules.reserving.contains(job.jobClass());
        boolean privileged = reserving && fresh && view.isHolder(job.tenant());
        long reservedByOthers = 0;
        boolean ownsSome = false;
        for (Use use : view.usesOn(worker.id())) {
            if (privileged && use.holder().equals(job.tenant())) {
                ownsSome = true;
            } else if (!mayBorrow(view, nowMicros, job, use)) {
                reservedByOthers += Long.bitCount(use.mask());
            }
        }
        double unreservedShare = Math.max(0, 1 - (double) reservedByOthers / accelerators);
        if (ownsSome) {
            return Math.max(MIN_USABLE_SHARE, unreservedShare);
        }
        if (!reserving || !fresh) {
            return Math.max(MIN_USABLE_SHARE, unreservedShare);
        }
        return privileged ? OTHER_WORKER_FACTOR * unreservedShare : unreservedShare;
    }

    /**
     * Whether this job ends before the holder's first one, so that it may use the reserved
     * accelerators until then.
     */
    private boolean mayBorrow(ReservationView view, long nowMicros, Job job, Use use) {
        return rules.lends
                && view.fresh(nowMicros)
                && rules.idempotency.get(job.jobClass()) == Idempotency.IDEMPOTENT
                && view.logMicros(nowMicros) + job.timeLeftNs() / 1000 * times.clockRatio()
                        < use.neededMicros();
    }

    /**
     * The fencing token that is sent to the worker with a job, so that the worker rejects jobs of
     * an older grant: {@code MASK=FENCE} for each grant, with the hexadecimal mask of its
     * accelerators; null for a job that uses none.
     */
    public String fenceFor(long nowNs, String jobClass, String tenant, String worker) {
        if (!rules.reserving.contains(jobClass)) {
            return null;
        }
        List<Use> uses = reservations().usable(nowNs / 1000, tenant, worker);
        if (uses.isEmpty()) {
            return null;
        }
        StringBuilder text = new StringBuilder();
        uses.forEach(
                use ->
                        text.append(text.length() == 0 ? "" : ",")
                                .append(Long.toHexString(use.mask()))
                                .append('=')
                                .append(use.fence()));
        return text.toString();
    }
}
