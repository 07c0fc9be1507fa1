package postgrade.rig.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks that all processes together keep a tenant's rate limit: in no time span were more jobs
 * admitted on tokens than the rate allows in it, plus a bound. Covers every span and not only whole
 * seconds: the excess is kept in one sum that drains at the rate, as in a leaky bucket.
 */
public final class RateCheck {

    /** A job that a process admitted on a token. */
    public record AdmittedJob(long micros, String process, String tenant) {}

    /**
     * The limit of a tenant.
     *
     * @param perSecond rate of the tenant over all processes
     * @param bound jobs above the rate that are allowed in any span: bursts and the stated
     *     tolerance
     */
    public record Limit(double perSecond, double bound) {}

    /**
     * The violations and the greatest excess of each tenant, which shows how far below its bound it
     * stayed.
     */
    public record Verdict(
            List<Breach> breaches, Map<String, Double> maxExcess, long checkedCount) {}

    private RateCheck() {}

    public static Verdict check(List<AdmittedJob> admitted, Map<String, Limit> limits) {
        List<AdmittedJob> inOrder = new ArrayList<>(admitted);
        inOrder.sort(Comparator.comparingLong(AdmittedJob::micros));
        Map<String, Double> excess = new HashMap<>();
        Map<String, Long> last = new HashMap<>();
        Map<String, Double> maxExcess = new HashMap<>();
        List<Breach> breaches = new ArrayList<>();
        for (AdmittedJob job : inOrder) {
            Limit limit = limits.get(job.tenant);
            if (limit == null) {
                breaches.add(
                        new Breach(
                                "tenant",
                                job.micros,
                                job.tenant,
                                "admitted by "
                                        + job.process
                                        + ", but the tenant has no rate limit"));
                continue;
            }
            double drained =
                    (job.micros - last.getOrDefault(job.tenant, job.micros))
                            * limit.perSecond
                            / 1e6;
            double current = Math.max(0, excess.getOrDefault(job.tenant, 0.0) - drained) + 1;
            last.put(job.tenant, job.micros);
            excess.put(job.tenant, current);
            maxExcess.merge(job.tenant, current, Math::max);
            if (current > limit.bound) {
                breaches.add(
                        new Breach(
                                "rate",
                                job.micros,
                                job.tenant,
                                String.format(
                                        "%.1f jobs above the rate limit, the last one admitted by %s",
                                        current, job.process)));
            }
        }
        return new Verdict(breaches, maxExcess, inOrder.size());
    }
}
