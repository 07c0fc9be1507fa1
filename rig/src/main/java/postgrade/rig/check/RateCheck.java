package postgrade.rig.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Whether all processes together kept a tenant's rate: in no span of time were more jobs taken on
 * tokens than the rate gives in it, plus a bound. Every span is judged, not every second: the
 * excess runs in one sum that drains by the rate.
 */
public final class RateCheck {

    /** A job taken on a token by some process. */
    public record AdmittedJob(long micros, String process, String tenant) {}

    /**
     * @param perSecond whole rate of the tenant @param bound jobs beyond it in any span: bursts,
     *     and what is stated
     */
    public record Limit(double perSecond, double bound) {}

    /** The most that was seen, for a bound that is far off to be seen as such. */
    public record Verdict(List<Breach> breaches, Map<String, Double> mostBeyond, long judged) {}

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
                                "taken by " + job.process + ", but has no rate"));
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
                                        "%.1f beyond the rate, the last by %s",
                                        current, job.process)));
            }
        }
        return new Verdict(breaches, maxExcess, inOrder.size());
    }
}
