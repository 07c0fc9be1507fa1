package postgrade.rig.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Whether nothing went to a worker that operators had taken out, from whichever process, restarted
 * or not.
 */
public final class WorkerMaintenanceCheck {

    /**
     * @param out or back in again; told to all by then
     */
    public record StatusChange(long micros, String worker, boolean out) {}

    public record Sent(long micros, String process, String worker, String job) {}

    private WorkerMaintenanceCheck() {}

    /**
     * @param graceMicros in which what was under way may still arrive
     */
    public static List<Breach> check(
            List<StatusChange> changes, List<Sent> sent, long graceMicros) {
        Map<String, TreeMap<Long, Boolean>> changesByWorker = new HashMap<>();
        changes.forEach(
                t ->
                        changesByWorker
                                .computeIfAbsent(t.worker, w -> new TreeMap<>())
                                .put(t.micros, t.out));
        List<Breach> breaches = new ArrayList<>();
        for (Sent s : sent) {
            Map.Entry<Long, Boolean> last =
                    changesByWorker.getOrDefault(s.worker, new TreeMap<>()).floorEntry(s.micros);
            if (last != null && last.getValue() && s.micros > last.getKey() + graceMicros) {
                breaches.add(
                        new Breach(
                                "out",
                                s.micros,
                                s.job,
                                s.process
                                        + " sent it to "
                                        + s.worker
                                        + " "
                                        + (s.micros - last.getKey()) / 1000
                                        + " ms after that was taken out"));
            }
        }
        return breaches;
    }
}
