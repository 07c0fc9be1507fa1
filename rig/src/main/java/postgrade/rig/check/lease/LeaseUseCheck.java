package postgrade.rig.check.lease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import postgrade.rig.check.Breach;

/**
 * Checks how processes used accelerators on behalf of holders, by a single clock: never for two
 * holders at once, not after the grant expired, and that no grant expired early.
 */
public final class LeaseUseCheck {

    /** At that moment a process would have sent a job of this holder to this accelerator. */
    public record Use(long micros, String process, String accelerator, String holder, long fence) {}

    /**
     * A grant as its holder knows it.
     *
     * @param lastSentMicros when the last call that is known to have renewed it was sent
     * @param lastEndMicros when the last call that may have renewed it ended, answered or not
     * @param releasedMicros when the holder first asked to release it, or {@link Long#MAX_VALUE}
     */
    public record Grant(
            String holder,
            long fence,
            long ttlMicros,
            long lastSentMicros,
            long lastEndMicros,
            long releasedMicros) {}

    /** The view of a process, or an answer, showed that a grant had ended. */
    public record GrantEnd(long micros, String process, String holder, long fence) {}

    private LeaseUseCheck() {}

    /**
     * Checks that an accelerator is not used under an earlier fence of another holder once it was
     * used under a later fence.
     */
    public static List<Breach> mutualExclusion(List<Use> uses) {
        List<Use> inOrder = new ArrayList<>(uses);
        // Among uses of the same moment the later fence comes first, so that simultaneous use
        // counts as a violation.
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
                                        + " under fence "
                                        + u.fence
                                        + ", "
                                        + (u.micros - before.micros)
                                        + " us after "
                                        + before.process
                                        + " used it for "
                                        + before.holder
                                        + " under fence "
                                        + before.fence));
            }
            if (before == null || u.fence > before.fence) {
                latest.put(u.accelerator, u);
            }
        }
        return breaches;
    }

    /**
     * Checks that no grant is used longer than its time to live plus the bound after the last call
     * that may have renewed it.
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
                                        + " under fence "
                                        + u.fence
                                        + " "
                                        + over
                                        + " us beyond the bound"));
            }
        }
        return breaches;
    }

    /**
     * Checks that no grant that its holder did not release ends before its time to live has passed
     * since its last renewal, as the fastest clock measures it.
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
                                        + "'s fence "
                                        + o.fence
                                        + " had ended "
                                        + (o.micros - g.lastSentMicros)
                                        + " us after a renewal, with a time to live in us of "
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
