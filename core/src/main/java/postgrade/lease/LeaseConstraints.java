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
 * Reservations as the module meets them. A holder's jobs of a reserving class go to its
 * accelerators first; for all others a worker is smaller by what is reserved of it. An old view
 * takes the privilege away and never makes a worker unable: it costs features and no answer. Jobs
 * that must not run twice are never limited by any of this.
 */
public final class LeaseConstraints implements JobConstraints {

    /**
     * However much of a worker is reserved, so much of it is there for jobs that need no
     * accelerator.
     */
    static final double MIN_USABLE_SHARE = 0.05;

    /**
     * A holder's jobs see other workers smaller by this: its own fill up first, and what is beyond
     * goes there.
     */
    static final double OTHER_WORKER_FACTOR = 0.25;

    /**
     * What the settings say.
     *
     * @param reserving classes whose jobs use reserved accelerators
     * @param effects of all classes; one that must not run twice cannot be a reserving one
     * @param lends reserved accelerators to jobs that may be repeated and end before the holder
     *     needs them
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
     * Of the latest view. One that merely confirms the former rows is indexed again all the same:
     * views are few.
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
     * Whether this job is over before the holder's first, so that what is reserved may be used
     * meanwhile.
     */
    private boolean mayBorrow(ReservationView view, long nowMicros, Job job, Use use) {
        return rules.lends
                && view.fresh(nowMicros)
                && rules.idempotency.get(job.jobClass()) == Idempotency.IDEMPOTENT
                && view.logMicros(nowMicros) + job.timeLeftNs() / 1000 * times.clockRatio()
                        < use.neededMicros();
    }

    /**
     * What goes to the worker with a job, so that it turns away an older grant's: {@code
     * MASK=FENCE} for each grant, the mask of its accelerators in hexadecimal; null for a job that
     * uses none.
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
