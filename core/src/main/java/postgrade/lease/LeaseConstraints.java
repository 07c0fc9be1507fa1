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
    static final double LEAST = 0.05;

    /**
     * A holder's jobs see other workers smaller by this: its own fill up first, and what is beyond
     * goes there.
     */
    static final double ELSEWHERE = 0.25;

    /**
     * What the settings say.
     *
     * @param reserving classes whose jobs use reserved accelerators
     * @param effects of all classes; one that must not run twice cannot be a reserving one
     * @param lends reserved accelerators to jobs that may be repeated and end before the holder
     *     needs them
     */
    public record Rules(Set<String> reserving, Map<String, Idempotency> effects, boolean lends) {
        public Rules {
            reserving = Set.copyOf(reserving);
            effects = Map.copyOf(effects);
            for (String name : reserving) {
                if (!effects.containsKey(name)) {
                    throw new IllegalArgumentException("reserving: there is no class " + name);
                }
                if (effects.get(name) == Idempotency.NOT_IDEMPOTENT) {
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
        ReservationView all = reservations();
        long accelerators = all.accelerators(worker.id());
        if (accelerators == 0 || rules.effects.get(job.jobClass()) == Idempotency.NOT_IDEMPOTENT) {
            return 1;
        }
        long nowMicros = nowNs / 1000;
        boolean fresh = all.fresh(nowMicros);
        boolean reserving = rules.reserving.contains(job.jobClass());
        boolean privileged = reserving && fresh && all.holds(job.tenant());
        long others = 0;
        boolean own = false;
        for (Use use : all.on(worker.id())) {
            if (privileged && use.holder().equals(job.tenant())) {
                own = true;
            } else if (!lent(all, nowMicros, job, use)) {
                others += Long.bitCount(use.mask());
            }
        }
        double left = Math.max(0, 1 - (double) others / accelerators);
        if (own) {
            return Math.max(LEAST, left);
        }
        if (!reserving || !fresh) {
            return Math.max(LEAST, left);
        }
        return privileged ? ELSEWHERE * left : left;
    }

    /**
     * Whether this job is over before the holder's first, so that what is reserved may be used
     * meanwhile.
     */
    private boolean lent(ReservationView all, long nowMicros, Job job, Use use) {
        return rules.lends
                && all.fresh(nowMicros)
                && rules.effects.get(job.jobClass()) == Idempotency.IDEMPOTENT
                && all.logMicros(nowMicros) + job.timeLeftNs() / 1000 * times.clockRatio()
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
                u ->
                        text.append(text.length() == 0 ? "" : ",")
                                .append(Long.toHexString(u.mask()))
                                .append('=')
                                .append(u.fence()));
        return text.toString();
    }
}
