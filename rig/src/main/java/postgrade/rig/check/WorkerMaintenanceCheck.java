package postgrade.rig.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks that no process, restarted or not, sent a job to a worker that operators had taken out of
 * service.
 */
public final class WorkerMaintenanceCheck {

    /**
     * A worker was taken out or put back. All processes knew of it at that time.
     *
     * @param out whether it was taken out
     */
    public record StatusChange(long micros, String worker, boolean out) {}

    public record Sent(long micros, String process, String worker, String job) {}

    private WorkerMaintenanceCheck() {}

    /**
     * Finds jobs that were sent to a worker while it was out.
     *
     * @param graceMicros how long after the change a job that was already in flight may still
     *     arrive
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
                                        + " ms after the worker was taken out"));
            }
        }
        return breaches;
    }
}
