package postgrade.window;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import postgrade.policy.api.Job;
import postgrade.policy.api.JobConstraints;
import postgrade.policy.api.WorkerInfo;

/**
 * Applies start windows ahead of the policy's decisions: a job outside its windows is rejected at
 * once with a time to retry; a worker whose site closes before the job would end is not usable for
 * it. Classes without windows are not affected.
 */
public final class WindowConstraints implements JobConstraints {

    /** The site at which a worker stands: by its kind where that is mapped, else by its zone. */
    public record SiteMapping(Map<String, String> byKind, Map<String, String> byZone) {
        public SiteMapping {
            byKind = Map.copyOf(byKind);
            byZone = Map.copyOf(byZone);
        }

        String siteOf(WorkerInfo worker) {
            String site = byKind.get(worker.kind());
            return site == null ? byZone.get(worker.zone()) : site;
        }
    }

    private static final int MAX_PLANS = 20_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Retry delays: when no opening is in sight, and while the calendars are not known here. */
    private static final long NO_OPENING_RETRY_MILLIS = 3_600_000;

    private static final long UNKNOWN_CALENDAR_RETRY_MILLIS = 1_000;
    private static final long UNKNOWN_CALENDAR_SPREAD_MILLIS = 8_000;

    private final Map<String, JobClassWindow> classes = new HashMap<>();
    private final SiteMapping sites;
    private final CalendarLookup calendars;
    private final DurationHistograms durations;
    private final long clockErrorMillis;
    private final long seed;

    /**
     * The plans of jobs, each fixed when its job arrives: a daily deadline must not move while the
     * job is held or retried.
     */
    private final Map<String, StartPlan> plans =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, StartPlan> eldest) {
                    return size() > MAX_PLANS;
                }
            };

    private long wallClockSetAtNs;
    private long wallClockMillis;

    public WindowConstraints(
            List<JobClassWindow> classes,
            SiteMapping sites,
            CalendarLookup calendars,
            DurationHistograms durations,
            long clockErrorMillis,
            long seed) {
        classes.forEach(c -> this.classes.put(c.name(), c));
        this.sites = sites;
        this.calendars = calendars;
        this.durations = durations;
        this.clockErrorMillis = clockErrorMillis;
        this.seed = seed;
    }

    /**
     * Sets the wall clock reading for a time of the monotonic clock. Called often, since the wall
     * clock may be adjusted.
     */
    public void setWallClock(long nowNs, long millis) {
        wallClockSetAtNs = nowNs;
        wallClockMillis = millis;
    }

    /**
     * Sets the job's own plan before the job arrives. Null means that the job has none, and
     * discards the plan of an abandoned job with the same id.
     */
    public void setPlan(String jobId, StartPlan plan) {
        if (plan == null) {
            plans.remove(jobId);
        } else {
            plans.put(jobId, plan);
        }
    }

    /**
     * Returns the plan that the job class gives to a job arriving now; null for a class without
     * windows.
     */
    public StartPlan planForClass(long nowMillis, String jobClass) {
        JobClassWindow window = classes.get(jobClass);
        return window == null ? null : window.plan(nowMillis, expectedDurationMillis(window));
    }

    /** Discards the plan of a job that has its answer. */
    public void jobAnswered(String jobId) {
        plans.remove(jobId);
    }

    private long wallMillis(long nowNs) {
        return wallClockMillis + Math.floorDiv(nowNs - wallClockSetAtNs, NANOS_PER_MILLI);
    }

    private long observeTime(long nowNs) {
        calendars.observeTime(Math.floorDiv(nowNs, 1_000));
        return wallMillis(nowNs);
    }

    private StartPlan planFor(long nowMillis, Job job) {
        StartPlan fixedPlan = plans.get(job.id());
        if (fixedPlan != null) {
            return fixedPlan;
        }
        return planForClass(nowMillis, job.jobClass());
    }

    private long expectedDurationMillis(JobClassWindow window) {
        return window.quantile() == 0
                ? window.declaredMillis()
                : Math.min(
                        StartPlan.MAX_DURATION_MILLIS,
                        Math.max(
                                window.declaredMillis(),
                                durations.quantile(window.name(), window.quantile())));
    }

    @Override
    public long startDelayNs(long nowNs, Job job) {
        long nowMillis = observeTime(nowNs);
        boolean planFixed = plans.containsKey(job.id());
        StartPlan plan = planFor(nowMillis, job);
        if (plan == null) {
            return 0;
        }
        if (StartWindows.nextOpening(plan, calendars, nowMillis, clockErrorMillis) == nowMillis) {
            plans.put(job.id(), plan);
            return 0;
        }
        plans.remove(job.id());
        return Math.max(1, retryInMillis(nowMillis, plan, job, planFixed) * NANOS_PER_MILLI);
    }

    /**
     * Returns in how many milliseconds the job is to be retried.
     *
     * @param planFixed whether the plan is already fixed for the job, so that its deadline does not
     *     move to the next day of the class
     */
    private long retryInMillis(long nowMillis, StartPlan plan, Job job, boolean planFixed) {
        StartWindows.Result result =
                StartWindows.query(plan, calendars, nowMillis, clockErrorMillis);
        if (result.bySite().isEmpty()) {
            return RetrySpread.retryInMillis(
                    UNKNOWN_CALENDAR_RETRY_MILLIS,
                    2 * UNKNOWN_CALENDAR_SPREAD_MILLIS,
                    seed,
                    job.id());
        }
        JobClassWindow window = planFixed ? null : classes.get(job.jobClass());
        if (result.opensAt() == StartWindows.NEVER && window != null) {
            result =
                    StartWindows.query(
                            window.nextDailyPlan(plan, nowMillis),
                            calendars,
                            nowMillis,
                            clockErrorMillis);
        }
        return result.opensAt() == StartWindows.NEVER
                ? RetrySpread.retryInMillis(
                        NO_OPENING_RETRY_MILLIS, NO_OPENING_RETRY_MILLIS, seed, job.id())
                : RetrySpread.retryInMillis(
                        result.opensAt() - nowMillis,
                        result.closesAt() - result.opensAt(),
                        seed,
                        job.id());
    }

    @Override
    public double usableShare(long nowNs, Job job, WorkerInfo worker) {
        long nowMillis = observeTime(nowNs);
        StartPlan plan = planFor(nowMillis, job);
        if (plan == null) {
            return 1;
        }
        String site = sites.siteOf(worker);
        return site != null
                        && plan.sites().contains(site)
                        && StartWindows.mayStart(
                                plan, calendars.forSite(site), nowMillis, clockErrorMillis)
                ? 1
                : 0;
    }
}
