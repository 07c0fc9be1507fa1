package postgrade.window;

import java.util.ArrayList;
import java.util.List;
import postgrade.window.Exclusion.Reason;

/**
 * When a job may start at one site. A start is allowed if the job neither overlaps maintenance nor
 * starts in it, with maintenance extended by the clock error at both ends: {@code start + duration
 * <= begin - error} or {@code start >= end + error}.
 */
public final class SiteStartTimes {

    private final StartPlan plan;
    private final SiteCalendar calendar;
    private final long now;
    private final long clockErrorMillis;
    private final Intervals starts;

    SiteStartTimes(StartPlan plan, SiteCalendar calendar, long now, long clockErrorMillis) {
        this.plan = plan;
        this.calendar = calendar;
        this.now = now;
        this.clockErrorMillis = clockErrorMillis;
        Intervals.Builder builder = new Intervals.Builder();
        long end = rangeEnd();
        long candidate = rangeStart();
        Intervals closed = calendar.closed();
        for (int i = closed.firstEndingAfter(candidate - clockErrorMillis);
                candidate < end && i < closed.size();
                i++) {
            long blocked = blockedFrom(closed.from(i));
            if (blocked >= end) {
                break;
            }
            builder.add(candidate, blocked);
            candidate = Math.max(candidate, closed.to(i) + clockErrorMillis);
        }
        builder.add(candidate, end);
        starts = builder.buildSorted();
    }

    /**
     * Returns the first start time that is blocked by maintenance that begins at the given time. A
     * job of zero duration may end at the instant at which maintenance begins.
     */
    private long blockedFrom(long maintenanceStart) {
        return maintenanceStart - clockErrorMillis - Math.max(0, plan.durationMillis() - 1);
    }

    private long rangeStart() {
        return Math.max(
                Math.max(plan.earliestStart(), now), calendar.horizonStart() + clockErrorMillis);
    }

    private long rangeEnd() {
        return Math.min(
                plan.latestStartExclusive(),
                calendar.horizonEnd() - clockErrorMillis - plan.durationMillis() + 1);
    }

    /**
     * Returns whether the job may start at this time, and if not, when it next may.
     *
     * @return the time itself, a later one, or {@link StartWindows#NEVER}
     */
    static long nextStart(StartPlan plan, SiteCalendar calendar, long time, long clockErrorMillis) {
        Intervals closed = calendar.closed();
        long candidate =
                Math.max(
                        Math.max(plan.earliestStart(), time),
                        calendar.horizonStart() + clockErrorMillis);
        long end =
                Math.min(
                        plan.latestStartExclusive(),
                        calendar.horizonEnd() - clockErrorMillis - plan.durationMillis() + 1);
        long blockedBefore = clockErrorMillis + Math.max(0, plan.durationMillis() - 1);
        for (int i = closed.firstEndingAfter(candidate - clockErrorMillis); candidate < end; i++) {
            if (i == closed.size() || closed.from(i) - blockedBefore > candidate) {
                return candidate;
            }
            candidate = Math.max(candidate, closed.to(i) + clockErrorMillis);
        }
        return StartWindows.NEVER;
    }

    public String site() {
        return calendar.site();
    }

    public String version() {
        return calendar.version();
    }

    /** Returns the times at which the job may start, from now on. */
    public Intervals starts() {
        return starts;
    }

    /**
     * Returns why the job may not start at other times, from the earliest start or now to the
     * deadline, ordered by start.
     */
    public List<Exclusion> exclusions() {
        List<Exclusion> exclusions = new ArrayList<>();
        String site = site();
        long from = Math.max(plan.earliestStart(), now);
        long to =
                plan.deadline() == Long.MAX_VALUE
                        ? Long.MAX_VALUE / 4
                        : Math.max(from, plan.deadline() + 1);
        if (now < plan.earliestStart()) {
            exclusions.add(
                    new Exclusion(
                            now,
                            plan.earliestStart(),
                            null,
                            Reason.TOO_EARLY,
                            "before its earliest start"));
        }
        if (from < rangeStart()) {
            exclusions.add(
                    new Exclusion(
                            from,
                            Math.min(to, rangeStart()),
                            site,
                            Reason.BEYOND_HORIZON,
                            "before what is worked out"));
        }
        Intervals closed = calendar.closed();
        for (int i = closed.firstEndingAfter(rangeStart() - clockErrorMillis);
                i < closed.size();
                i++) {
            long begin = Math.max(rangeStart(), blockedFrom(closed.from(i)));
            long end = Math.min(rangeEnd(), closed.to(i) + clockErrorMillis);
            if (begin >= end) {
                break;
            }
            exclusions.add(
                    new Exclusion(begin, end, site, Reason.MAINTENANCE, calendar.closureReason(i)));
        }
        long unknownFrom =
                Math.max(
                        from, calendar.horizonEnd() - clockErrorMillis - plan.durationMillis() + 1);
        if (unknownFrom < Math.min(to, plan.latestStartExclusive())) {
            exclusions.add(
                    new Exclusion(
                            unknownFrom,
                            Math.min(to, plan.latestStartExclusive()),
                            site,
                            Reason.BEYOND_HORIZON,
                            "after what is worked out"));
        }
        if (Math.max(from, plan.latestStartExclusive()) < to) {
            exclusions.add(
                    new Exclusion(
                            Math.max(from, plan.latestStartExclusive()),
                            to,
                            null,
                            Reason.TOO_LATE,
                            "would end after its deadline"));
        }
        return exclusions;
    }
}
