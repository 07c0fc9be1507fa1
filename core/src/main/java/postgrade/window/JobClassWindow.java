package postgrade.window;

import java.time.LocalTime;
import java.time.zone.ZoneRules;
import java.util.List;

/**
 * The start windows of a job class, as set by operators.
 *
 * @param dailyStart the time of day before which no job starts, or null for any time
 * @param zone zone of {@code dailyStart}
 * @param quantile quantile of the learnt durations to use; 0 to use {@code declaredMillis} alone
 * @param declaredMillis declared duration of a job, in milliseconds; where enough durations were
 *     learnt, the greater of both counts
 */
public record JobClassWindow(
        String name,
        List<String> sites,
        LocalTime dailyStart,
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
                    "declared duration of class "
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
     * Returns the plan of a job that arrives now: within the current daily window where the job
     * still fits, else within the next one.
     */
    public StartPlan plan(long now, long durationMillis) {
        if (dailyStart == null) {
            StartPlan fromNow =
                    new StartPlan(now, deadline.resolveMillis(now), durationMillis, sites);
            return fromNow.latestStartExclusive() > now || !(deadline instanceof Deadline.Daily)
                    ? fromNow
                    : nextDailyPlan(fromNow, now);
        }
        long previousStart = LocalTimes.previousOccurrence(dailyStart, zone, now);
        StartPlan current =
                new StartPlan(
                        previousStart,
                        deadline.resolveMillis(previousStart),
                        durationMillis,
                        sites);
        if (current.latestStartExclusive() > now) {
            return current;
        }
        long nextStart = LocalTimes.nextOccurrence(dailyStart, zone, now + 1);
        return new StartPlan(nextStart, deadline.resolveMillis(nextStart), durationMillis, sites);
    }

    /** Returns the plan for the daily window after this one. */
    public StartPlan nextDailyPlan(StartPlan plan, long now) {
        if (!(deadline instanceof Deadline.Daily)) {
            return plan;
        }
        long later = Math.max(now, plan.deadline() + 1);
        return dailyStart == null
                ? new StartPlan(later, deadline.resolveMillis(later), plan.durationMillis(), sites)
                : plan(later, plan.durationMillis());
    }
}
