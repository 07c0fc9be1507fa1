package postgrade.rig.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks that the shares of the rates that processes use add up to no more than one at any moment.
 * A share counts from when its process adopted it until the process adopts another one or is dead;
 * a process that is merely silent keeps its share.
 */
public final class ShareCheck {

    /**
     * A process adopted a share.
     *
     * @param share of every rate; 0 once the process is dead
     */
    public record ShareChange(long micros, String process, double share) {}

    public record Verdict(List<Breach> breaches, double maxSum, long checkedCount) {}

    private ShareCheck() {}

    /**
     * Checks the sum of the shares after each change.
     *
     * @param bound by how much the sum may exceed one
     * @param forMicros for how long it may exceed it at most
     */
    public static Verdict check(List<ShareChange> changes, double bound, long forMicros) {
        List<ShareChange> inOrder = new ArrayList<>(changes);
        inOrder.sort(Comparator.comparingLong(ShareChange::micros));
        Map<String, Double> shares = new HashMap<>();
        List<Breach> breaches = new ArrayList<>();
        double maxSum = 0;
        long aboveSince = Long.MAX_VALUE;
        for (int i = 0; i < inOrder.size(); i++) {
            ShareChange change = inOrder.get(i);
            // The sum up to this change was in force until now.
            if (forMicros > 0
                    && aboveSince != Long.MAX_VALUE
                    && change.micros - aboveSince > forMicros) {
                breaches.add(
                        new Breach(
                                "share",
                                aboveSince,
                                change.process,
                                String.format(
                                        "the sum was above %.3f for %d ms",
                                        1 + bound, (change.micros - aboveSince) / 1000)));
                aboveSince = Long.MAX_VALUE;
            }
            shares.put(change.process, change.share);
            double sum = shares.values().stream().mapToDouble(Double::doubleValue).sum();
            maxSum = Math.max(maxSum, sum);
            boolean above = sum > 1 + bound + 1e-9;
            aboveSince = above ? Math.min(aboveSince, change.micros) : Long.MAX_VALUE;
            if (above && forMicros == 0) {
                breaches.add(
                        new Breach(
                                "share",
                                change.micros,
                                change.process,
                                String.format("the sum is %.3f", sum)));
            }
        }
        if (aboveSince != Long.MAX_VALUE && forMicros > 0) {
            breaches.add(
                    new Breach(
                            "share",
                            aboveSince,
                            "all",
                            "the sum stayed above the bound to the end"));
        }
        return new Verdict(breaches, maxSum, inOrder.size());
    }
}
