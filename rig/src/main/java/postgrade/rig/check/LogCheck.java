package postgrade.rig.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Whether the replicated log was one log: no index ever carried two entries, no entry that was
 * answered for was lost, none was carried out twice, and what one process saw only went forward.
 */
public final class LogCheck {

    /** What a replica carried out at an index: a digest of the entry and of all before it. */
    public record Applied(String process, long incarnation, long era, long index, String digest) {}

    /**
     * What a caller was told was done. @param key unique to the call @param index at which it was
     */
    public record Acknowledged(String key, long era, long index) {}

    /** A view that a process took, in the order in which it did. */
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
     * @param present how often each key stands in the end state
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
                                "answered for at index "
                                        + call.index
                                        + ", carried out "
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
