package postgrade.window;

import java.time.LocalTime;
import java.time.zone.ZoneRules;
import java.util.List;

/**
 * The windows of a class of jobs, as set by operators.
 *
 * @param from the time of day before which none starts, or null: at any time
 * @param zone of {@code from}
 * @param quantile of what was learnt how long they take; 0 to go by {@code declared} alone
 * @param declared how long one takes, in milliseconds; where enough was learnt the greater of both
 *     counts
 */
public record JobClassWindow(
        String name,
        List<String> sites,
        LocalTime from,
        ZoneRules zone,
        Deadline deadline,
        double quantile,
        long declaredMillis) {

    public JobClassWindow {
        if (sites.isEmpty()) {
            throw new IllegalArgumentException("sites of class " + name + " must not be empty");
        }
        if (declaredMillis < 0 || declaredMillis > StartPlan.MAX_DURATION_MILLIS) {
            throw new IllegalArgumentException(
                    "declared of class "
                            + name
                            + " must lie between 0 and "
                            + StartPlan.MAX_DURATION_MILLIS);
        }
        if (!(quantile >= 0 && quantile <= 1)) {
            throw new IllegalArgumentException(
                    "quantile of class " + name + " must lie between 0 and 1");
        }
        sites = List.copyOf(sites);
    }

    /**
     * The plan of a job that comes now: in the present round where it still fits, else in the next.
     */
    public StartPlan plan(long now, long lasts) {
        if (from == null) {
            StartPlan today = new StartPlan(now, deadline.resolveMillis(now), lasts, sites);
            return today.startsEnd() > now || !(deadline instanceof Deadline.Daily)
                    ? today
                    : after(today, now);
        }
        long began = LocalTimes.previous(from, zone, now);
        StartPlan present = new StartPlan(began, deadline.resolveMillis(began), lasts, sites);
        if (present.startsEnd() > now) {
            return present;
        }
        long begins = LocalTimes.next(from, zone, now + 1);
        return new StartPlan(begins, deadline.resolveMillis(begins), lasts, sites);
    }

    /** The round after this one. */
    public StartPlan after(StartPlan plan, long now) {
        if (!(deadline instanceof Deadline.Daily)) {
            return plan;
        }
        long later = Math.max(now, plan.deadline() + 1);
        return from == null
                ? new StartPlan(later, deadline.resolveMillis(later), plan.durationMillis(), sites)
                : plan(later, plan.durationMillis());
    }
}
