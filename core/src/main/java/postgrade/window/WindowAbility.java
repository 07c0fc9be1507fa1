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
public final class WindowAbility implements JobConstraints {

    /** Which site a worker stands at. By its kind where that is named, else by its zone. */
    public record Sites(Map<String, String> byKind, Map<String, String> byZone) {
        public Sites {
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

    private final Map<String, WindowClass> classes = new HashMap<>();
    private final Sites sites;
    private final Calendars calendars;
    private final LearntLengths lengths;
    private final long clockErrorMillis;
    private final long seed;

    /**
     * A job's plan is fixed when it comes: a daily deadline must not move on while it is held or
     * sent again.
     */
    private final Map<String, Plan> plans =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Plan> eldest) {
                    return size() > MOST_PLANS;
                }
            };

    private long toldNs;
    private long toldMillis;

    public WindowAbility(
            List<WindowClass> classes,
            Sites sites,
            Calendars calendars,
            LearntLengths lengths,
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
    public void wall(long nowNs, long millis) {
        toldNs = nowNs;
        toldMillis = millis;
    }

    /**
     * This job has a plan of its own, before it comes; null: it has none, whatever one of its id
     * had that was given up on.
     */
    public void planned(String jobId, Plan plan) {
        if (plan == null) {
            plans.remove(jobId);
        } else {
            plans.put(jobId, plan);
        }
    }

    /** What the class of a job gives to one that comes now; null for a class without windows. */
    public Plan ofClass(long nowMillis, String jobClass) {
        WindowClass c = classes.get(jobClass);
        return c == null ? null : c.plan(nowMillis, lasts(c));
    }

    /** The job has its answer. */
    public void over(String jobId) {
        plans.remove(jobId);
    }

    private long wallMillis(long nowNs) {
        return toldMillis + Math.floorDiv(nowNs - toldNs, MILLI);
    }

    private long now(long nowNs) {
        calendars.at(Math.floorDiv(nowNs, 1_000));
        return wallMillis(nowNs);
    }

    private Plan plan(long now, Job job) {
        Plan own = plans.get(job.id());
        if (own != null) {
            return own;
        }
        return ofClass(now, job.jobClass());
    }

    private long lasts(WindowClass c) {
        return c.quantile() == 0
                ? c.declared()
                : Math.min(
                        Plan.LONGEST,
                        Math.max(c.declared(), lengths.quantile(c.name(), c.quantile())));
    }

    @Override
    public long startDelayNs(long nowNs, Job job) {
        long now = now(nowNs);
        boolean own = plans.containsKey(job.id());
        Plan plan = plan(now, job);
        if (plan == null) {
            return 0;
        }
        if (Windows.opens(plan, calendars, now, clockErrorMillis) == now) {
            plans.put(job.id(), plan);
            return 0;
        }
        plans.remove(job.id());
        return Math.max(1, opensInMillis(now, plan, job, own) * MILLI);
    }

    /**
     * @param own the plan is the job's, whose deadline does not move on to the class's next round
     */
    private long opensInMillis(long now, Plan plan, Job job, boolean own) {
        Windows.Answer answer = Windows.query(plan, calendars, now, clockErrorMillis);
        if (answer.starts().isEmpty()) {
            return Spread.millis(UNKNOWN_MILLIS, 2 * UNKNOWN_SPREAD_MILLIS, seed, job.id());
        }
        WindowClass c = own ? null : classes.get(job.jobClass());
        if (answer.opens() == Windows.NEVER && c != null) {
            answer = Windows.query(c.after(plan, now), calendars, now, clockErrorMillis);
        }
        return answer.opens() == Windows.NEVER
                ? Spread.millis(NO_OPENING_MILLIS, NO_OPENING_MILLIS, seed, job.id())
                : Spread.millis(
                        answer.opens() - now, answer.closes() - answer.opens(), seed, job.id());
    }

    @Override
    public double usableShare(long nowNs, Job job, WorkerInfo worker) {
        long now = now(nowNs);
        Plan plan = plan(now, job);
        if (plan == null) {
            return 1;
        }
        String site = sites.of(worker);
        return site != null
                        && plan.sites().contains(site)
                        && Windows.able(plan, calendars.of(site), now, clockErrorMillis)
                ? 1
                : 0;
    }
}
