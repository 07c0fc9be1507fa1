package postgrade.rig.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Whether the parts of the rates that processes live by come to no more than one at any moment. A
 * part counts from when its process took it until it takes another or is dead; a process that is
 * merely silent keeps what it had.
 */
public final class ShareCheck {

    /**
     * @param part of every rate; 0 once it is dead
     */
    public record ShareChange(long micros, String process, double part) {}

    public record Verdict(List<Breach> breaches, double most, long judged) {}

    private ShareCheck() {}

    /**
     * @param bound by how much the sum may stand above one @param forMicros and for how long at
     *     most
     */
    public static Verdict check(List<ShareChange> took, double bound, long forMicros) {
        List<ShareChange> inOrder = new ArrayList<>(took);
        inOrder.sort(Comparator.comparingLong(ShareChange::micros));
        Map<String, Double> parts = new HashMap<>();
        List<Breach> breaches = new ArrayList<>();
        double most = 0;
        long since = Long.MAX_VALUE;
        for (int i = 0; i < inOrder.size(); i++) {
            ShareChange t = inOrder.get(i);
            // What stood until now stood for that long.
            if (forMicros > 0 && since != Long.MAX_VALUE && t.micros - since > forMicros) {
                breaches.add(
                        new Breach(
                                "share",
                                since,
                                t.process,
                                String.format(
                                        "the sum was above %.3f for %d ms",
                                        1 + bound, (t.micros - since) / 1000)));
                since = Long.MAX_VALUE;
            }
            parts.put(t.process, t.part);
            double sum = parts.values().stream().mapToDouble(Double::doubleValue).sum();
            most = Math.max(most, sum);
            boolean over = sum > 1 + bound + 1e-9;
            since = over ? Math.min(since, t.micros) : Long.MAX_VALUE;
            if (over && forMicros == 0) {
                breaches.add(
                        new Breach(
                                "share",
                                t.micros,
                                t.process,
                                String.format("the sum is %.3f", sum)));
            }
        }
        if (since != Long.MAX_VALUE && forMicros > 0) {
            breaches.add(new Breach("share", since, "all", "the sum never came down again"));
        }
        return new Verdict(breaches, most, inOrder.size());
    }
}
