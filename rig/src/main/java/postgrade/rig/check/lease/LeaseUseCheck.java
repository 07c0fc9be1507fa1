package postgrade.rig.check.lease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import postgrade.rig.check.Breach;

/**
 * What processes used in holders' names, judged by one clock: never for two at once, not too long,
 * and not too short.
 */
public final class LeaseUseCheck {

    /** A process would have sent a job of this holder to this accelerator at that moment. */
    public record Use(long micros, String process, String accelerator, String holder, long fence) {}

    /**
     * A grant as its holder knows it.
     *
     * @param lastSentMicros when the last call was sent that is known to have kept it alive
     * @param lastEndMicros when the last call ended that may have kept it alive, answered or not
     * @param releasedMicros when the holder first asked for its end, or {@link Long#MAX_VALUE}
     */
    public record Grant(
            String holder,
            long fence,
            long ttlMicros,
            long lastSentMicros,
            long lastEndMicros,
            long releasedMicros) {}

    /** A process's view, or an answer, showed that a grant had ended. */
    public record GrantEnd(long micros, String process, String holder, long fence) {}

    private LeaseUseCheck() {}

    /**
     * Once an accelerator was used under a later fence of another holder, nobody uses it under an
     * earlier one.
     */
    public static List<Breach> mutualExclusion(List<Use> uses) {
        List<Use> inOrder = new ArrayList<>(uses);
        // Of one moment the later fences first: at the same time is beside each other.
        inOrder.sort(
                Comparator.comparingLong(Use::micros)
                        .thenComparing(Comparator.comparingLong(Use::fence).reversed()));
        Map<String, Use> latest = new HashMap<>();
        List<Breach> breaches = new ArrayList<>();
        for (Use u : inOrder) {
            Use before = latest.get(u.accelerator);
            if (before != null && u.fence <= before.fence && !u.holder.equals(before.holder)) {
                breaches.add(
                        new Breach(
                                "exclusion",
                                u.micros,
                                u.process,
                                u.accelerator
                                        + " used for "
                                        + u.holder
                                        + " by "
                                        + u.fence
                                        + ", "
                                        + (u.micros - before.micros)
                                        + " us after "
                                        + before.process
                                        + " used it for "
                                        + before.holder
                                        + " by "
                                        + before.fence));
            }
            if (before == null || u.fence > before.fence) {
                latest.put(u.accelerator, u);
            }
        }
        return breaches;
    }

    /**
     * Nobody uses a grant later than its time to live and this bound after it may last have been
     * renewed.
     */
    public static List<Breach> noUseAfterExpiry(
            List<Use> uses, List<Grant> grants, long boundMicros) {
        Map<String, Grant> known = grantsByKey(grants);
        List<Breach> breaches = new ArrayList<>();
        for (Use u : uses) {
            Grant g = known.get(u.holder + " " + u.fence);
            long over = g == null ? 0 : u.micros - g.lastEndMicros - g.ttlMicros - boundMicros;
            if (over > 0) {
                breaches.add(
                        new Breach(
                                "late",
                                u.micros,
                                u.process,
                                "used for "
                                        + u.holder
                                        + " by "
                                        + u.fence
                                        + " "
                                        + over
                                        + " us beyond the bound"));
            }
        }
        return breaches;
    }

    /**
     * No grant that nobody released ends before its time to live after it was last renewed, by the
     * fastest clock.
     */
    public static List<Breach> noEarlyExpiry(
            List<GrantEnd> gone, List<Grant> grants, double clockRatio, long allowanceMicros) {
        Map<String, Grant> known = grantsByKey(grants);
        List<Breach> breaches = new ArrayList<>();
        for (GrantEnd o : gone) {
            Grant g = known.get(o.holder + " " + o.fence);
            if (g != null
                    && o.micros < g.releasedMicros
                    && o.micros < g.lastSentMicros + (g.ttlMicros - allowanceMicros) / clockRatio) {
                breaches.add(
                        new Breach(
                                "early",
                                o.micros,
                                o.process,
                                o.holder
                                        + "'s "
                                        + o.fence
                                        + " had ended "
                                        + (o.micros - g.lastSentMicros)
                                        + " us after a renewal, of "
                                        + g.ttlMicros));
            }
        }
        return breaches;
    }

    private static Map<String, Grant> grantsByKey(List<Grant> grants) {
        Map<String, Grant> known = new HashMap<>();
        grants.forEach(g -> known.put(g.holder + " " + g.fence, g));
        return known;
    }
}
