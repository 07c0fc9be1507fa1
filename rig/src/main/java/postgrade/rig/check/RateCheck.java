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

    public static Verdict check(List<AdmittedJob> taken, Map<String, Limit> limits) {
        List<AdmittedJob> inOrder = new ArrayList<>(taken);
        inOrder.sort(Comparator.comparingLong(AdmittedJob::micros));
        Map<String, Double> beyond = new HashMap<>();
        Map<String, Long> last = new HashMap<>();
        Map<String, Double> most = new HashMap<>();
        List<Breach> breaches = new ArrayList<>();
        for (AdmittedJob t : inOrder) {
            Limit limit = limits.get(t.tenant);
            if (limit == null) {
                breaches.add(
                        new Breach(
                                "tenant",
                                t.micros,
                                t.tenant,
                                "taken by " + t.process + ", but has no rate"));
                continue;
            }
            double drained =
                    (t.micros - last.getOrDefault(t.tenant, t.micros)) * limit.perSecond / 1e6;
            double now = Math.max(0, beyond.getOrDefault(t.tenant, 0.0) - drained) + 1;
            last.put(t.tenant, t.micros);
            beyond.put(t.tenant, now);
            most.merge(t.tenant, now, Math::max);
            if (now > limit.bound) {
                breaches.add(
                        new Breach(
                                "rate",
                                t.micros,
                                t.tenant,
                                String.format(
                                        "%.1f beyond the rate, the last by %s", now, t.process)));
            }
        }
        return new Verdict(breaches, most, inOrder.size());
    }
}
