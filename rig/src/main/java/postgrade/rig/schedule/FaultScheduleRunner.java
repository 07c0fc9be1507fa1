package postgrade.rig.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import postgrade.fleet.Clock;
import postgrade.rig.cluster.Cluster;
import postgrade.rig.history.History;

/**
 * Plays a timetable upon a cluster: what has a time at that time, what waits for an event after it.
 */
public final class FaultScheduleRunner {

    /**
     * An event that never comes ends the run as failed; guards against a timetable that tests
     * nothing.
     */
    private static final long EVENT_MS = 30_000;

    private FaultScheduleRunner() {}

    /** Returns once the last step is carried out. */
    public static void run(FaultSchedule timetable, Cluster on) throws Exception {
        History history = on.history();
        int from = history.size();
        long begun = Clock.micros();
        List<Step> left = new ArrayList<>(timetable.steps());
        while (!left.isEmpty()) {
            Step next = null;
            long at = Long.MAX_VALUE;
            for (Step s : left) {
                long due = due(s, begun, history, from);
                if (due < at) {
                    at = due;
                    next = s;
                }
            }
            if (next == null) {
                Step first = left.get(0);
                history.await(first.event(), from, EVENT_MS, e -> matches(first, e));
            } else {
                long wait = at - Clock.micros();
                if (wait > 0) {
                    // An event that comes meanwhile may bring an earlier step.
                    TimeUnit.MICROSECONDS.sleep(Math.min(wait, 5000));
                } else {
                    left.remove(next);
                    on.execute(next);
                }
            }
        }
    }

    private static long due(Step s, long begun, History history, int from) {
        if (s.event().isEmpty()) {
            return begun + s.micros();
        }
        List<History.Event> all = history.all();
        for (int i = from; i < all.size(); i++) {
            if (matches(s, all.get(i))) {
                return all.get(i).micros() + s.micros();
            }
        }
        return Long.MAX_VALUE;
    }

    private static boolean matches(Step s, History.Event e) {
        return s.event().equals(e.who() + " " + e.kind());
    }
}
