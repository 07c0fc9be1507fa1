package postgrade.window;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import postgrade.policy.api.Job;
import postgrade.policy.api.JobConstraints;
import postgrade.policy.api.WorkerInfo;

/**
 * Start windows before the module's decisions: a job outside its windows is refused at once and
 * told when to come again; a worker whose site closes before the job would end is not able for it.
 * Classes without windows pass untouched.
 */
public final class WindowConstraints implements JobConstraints {

    /** Which site a worker stands at. By its kind where that is named, else by its zone. */
    public record SiteMapping(Map<String, String> byKind, Map<String, String> byZone) {
        public SiteMapping {
            byKind = Map.copyOf(byKind);
            byZone = Map.copyOf(byZone);
        }

        String of(WorkerInfo w) {
            String site = byKind.get(w.kind());
            return site == null ? byZone.get(w.zone()) : site;
        }
    }

    private static final int MOST_PLANS = 20_000;
    private static final long MILLI = 1_000_000;

    /** With no opening in sight, and while the calendars are not known here. */
    private static final long NO_OPENING_MILLIS = 3_600_000;

    private static final long UNKNOWN_MILLIS = 1_000;
    private static final long UNKNOWN_SPREAD_MILLIS = 8_000;

    private final Map<String, JobClassWindow> classes = new HashMap<>();
    private final SiteMapping sites;
    private final CalendarLookup calendars;
    private final DurationHistograms lengths;
    private final long clockErrorMillis;
    private final long seed;

    /**
     * A job's plan is fixed when it comes: a daily deadline must not move on while it is held or
     * sent again.
     */
    private final Map<String, StartPlan> plans =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, StartPlan> eldest) {
                    return size() > MOST_PLANS;
                }
            };

    private long toldNs;
    private long toldMillis;

    public WindowConstraints(
            List<JobClassWindow> classes,
            SiteMapping sites,
            CalendarLookup calendars,
            DurationHistograms lengths,
            long clockErrorMillis,
            long seed) {
        classes.forEach(c -> this.classes.put(c.name(), c));
        this.sites = sites;
        this.calendars = calendars;
        this.lengths = lengths;
        this.clockErrorMillis = clockErrorMillis;
        this.seed = seed;
    }

    /**
     * What the clock on the wall says at a time of the monotonic one. Told often, as the former may
     * be set.
     */
    public void setWallClock(long nowNs, long millis) {
        toldNs = nowNs;
        toldMillis = millis;
    }

    /**
     * This job has a plan of its own, before it comes; null: it has none, whatever one of its id
     * had that was given up on.
     */
    public void setPlan(String jobId, StartPlan plan) {
        if (plan == null) {
            plans.remove(jobId);
        } else {
            plans.put(jobId, plan);
        }
    }

    /** What the class of a job gives to one that comes now; null for a class without windows. */
    public StartPlan planForClass(long nowMillis, String jobClass) {
        JobClassWindow c = classes.get(jobClass);
        return c == null ? null : c.plan(nowMillis, lasts(c));
    }

    /** The job has its answer. */
    public void jobAnswered(String jobId) {
        plans.remove(jobId);
    }

    private long wallMillis(long nowNs) {
        return toldMillis + Math.floorDiv(nowNs - toldNs, MILLI);
    }

    private long now(long nowNs) {
        calendars.at(Math.floorDiv(nowNs, 1_000));
        return wallMillis(nowNs);
    }

    private StartPlan plan(long now, Job job) {
        StartPlan own = plans.get(job.id());
        if (own != null) {
            return own;
        }
        return planForClass(now, job.jobClass());
    }

    private long lasts(JobClassWindow c) {
        return c.quantile() == 0
                ? c.declaredMillis()
                : Math.min(
                        StartPlan.MAX_DURATION_MILLIS,
                        Math.max(c.declaredMillis(), lengths.quantile(c.name(), c.quantile())));
    }

    @Override
    public long startDelayNs(long nowNs, Job job) {
        long now = now(nowNs);
        boolean own = plans.containsKey(job.id());
        StartPlan plan = plan(now, job);
        if (plan == null) {
            return 0;
        }
        if (StartWindows.opens(plan, calendars, now, clockErrorMillis) == now) {
            plans.put(job.id(), plan);
            return 0;
        }
        plans.remove(job.id());
        return Math.max(1, opensInMillis(now, plan, job, own) * MILLI);
    }

    /**
     * @param own the plan is the job's, whose deadline does not move on to the class's next round
     */
    private long opensInMillis(long now, StartPlan plan, Job job, boolean own) {
        StartWindows.Result answer = StartWindows.query(plan, calendars, now, clockErrorMillis);
        if (answer.bySite().isEmpty()) {
            return Spread.millis(UNKNOWN_MILLIS, 2 * UNKNOWN_SPREAD_MILLIS, seed, job.id());
        }
        JobClassWindow c = own ? null : classes.get(job.jobClass());
        if (answer.opensAt() == StartWindows.NEVER && c != null) {
            answer = StartWindows.query(c.after(plan, now), calendars, now, clockErrorMillis);
        }
        return answer.opensAt() == StartWindows.NEVER
                ? Spread.millis(NO_OPENING_MILLIS, NO_OPENING_MILLIS, seed, job.id())
                : Spread.millis(
                        answer.opensAt() - now,
                        answer.closesAt() - answer.opensAt(),
                        seed,
                        job.id());
    }

    @Override
    public double usableShare(long nowNs, Job job, WorkerInfo worker) {
        long now = now(nowNs);
        StartPlan plan = plan(now, job);
        if (plan == null) {
            return 1;
        }
        String site = sites.of(worker);
        return site != null
                        && plan.sites().contains(site)
                        && StartWindows.able(plan, calendars.forSite(site), now, clockErrorMillis)
                ? 1
                : 0;
    }
}
