package postgrade.rig.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import postgrade.fleet.Clock;
import postgrade.rig.cluster.Cluster;
import postgrade.rig.history.History;

/**
 * Runs a fault schedule on a cluster: steps with a fixed time at that time, the others after their
 * events.
 */
public final class FaultScheduleRunner {

    /**
     * The run fails if an event does not occur within this time; guards against a schedule that
     * tests nothing.
     */
    private static final long EVENT_TIMEOUT_MS = 30_000;

    private FaultScheduleRunner() {}

    /** Returns once the last step was carried out. */
    public static void run(FaultSchedule schedule, Cluster cluster) throws Exception {
        History history = cluster.history();
        int from = history.size();
        long startMicros = Clock.micros();
        List<Step> remaining = new ArrayList<>(schedule.steps());
        while (!remaining.isEmpty()) {
            Step next = null;
            long nextDue = Long.MAX_VALUE;
            for (Step s : remaining) {
                long due = due(s, startMicros, history, from);
                if (due < nextDue) {
                    nextDue = due;
                    next = s;
                }
            }
            if (next == null) {
                Step first = remaining.get(0);
                history.await(first.event(), from, EVENT_TIMEOUT_MS, e -> matches(first, e));
            } else {
                long wait = nextDue - Clock.micros();
                if (wait > 0) {
                    // An event that occurs in the meantime may make another step due earlier.
                    TimeUnit.MICROSECONDS.sleep(Math.min(wait, 5000));
                } else {
                    remaining.remove(next);
                    cluster.execute(next);
                }
            }
        }
    }

    private static long due(Step step, long startMicros, History history, int from) {
        if (step.event().isEmpty()) {
            return startMicros + step.micros();
        }
        List<History.Event> all = history.all();
        for (int i = from; i < all.size(); i++) {
            if (matches(step, all.get(i))) {
                return all.get(i).micros() + step.micros();
            }
        }
        return Long.MAX_VALUE;
    }

    private static boolean matches(Step step, History.Event event) {
        return step.event().equals(event.who() + " " + event.kind());
    }
}
