package postgrade.rig.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks that the replicated log is a single log: no index carries two different entries, no
 * acknowledged entry is lost, none is applied twice, and the views of one process only advance.
 */
public final class LogCheck {

    /**
     * An entry that a replica applied at an index. The digest covers the entry and all entries
     * before it.
     */
    public record Applied(String process, long incarnation, long era, long index, String digest) {}

    /**
     * A call that was acknowledged to its caller.
     *
     * @param key unique to the call
     * @param index at which the entry was applied
     */
    public record Acknowledged(String key, long era, long index) {}

    /**
     * A view that a process adopted. Views are given in the order in which the process adopted
     * them.
     */
    public record ObservedView(String process, long incarnation, long era, long index) {}

    private LogCheck() {}

    public static List<Breach> agreement(List<Applied> applied) {
        Map<String, Applied> first = new HashMap<>();
        List<Breach> breaches = new ArrayList<>();
        for (Applied a : applied) {
            Applied before = first.putIfAbsent(a.era + "/" + a.index, a);
            if (before != null && !before.digest.equals(a.digest)) {
                breaches.add(
                        new Breach(
                                "agreement",
                                a.index,
                                a.process,
                                "index "
                                        + a.index
                                        + " of era "
                                        + a.era
                                        + " is "
                                        + a.digest
                                        + " here and "
                                        + before.digest
                                        + " at "
                                        + before.process));
            }
        }
        return breaches;
    }

    /**
     * Checks that each acknowledged call was applied exactly once.
     *
     * @param present how often each key occurs in the final state
     */
    public static List<Breach> durability(
            List<Acknowledged> acknowledged, Map<String, Long> present) {
        List<Breach> breaches = new ArrayList<>();
        for (Acknowledged call : acknowledged) {
            long times = present.getOrDefault(call.key, 0L);
            if (times != 1) {
                breaches.add(
                        new Breach(
                                times == 0 ? "lost" : "twice",
                                call.index,
                                call.key,
                                "acknowledged at index "
                                        + call.index
                                        + ", applied "
                                        + times
                                        + " times"));
            }
        }
        return breaches;
    }

    public static List<Breach> monotonicViews(List<ObservedView> views) {
        Map<String, ObservedView> last = new HashMap<>();
        List<Breach> breaches = new ArrayList<>();
        for (ObservedView view : views) {
            ObservedView before = last.put(view.process + "/" + view.incarnation, view);
            if (before != null
                    && (view.era < before.era
                            || view.era == before.era && view.index < before.index)) {
                breaches.add(
                        new Breach(
                                "backward",
                                view.index,
                                view.process,
                                "view of "
                                        + view.era
                                        + "/"
                                        + view.index
                                        + " after "
                                        + before.era
                                        + "/"
                                        + before.index));
            }
        }
        return breaches;
    }
}
