package postgrade.simulation.check;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/** How often something happens within a second, over all processes, against what is allowed. */
public final class PeakCheck {

    private static final long SECOND = 1_000_000;

    private final Checks checks;
    private final Map<String, Deque<Long>> times = new HashMap<>();

    PeakCheck(Checks checks) {
        this.checks = checks;
    }

    public void happened(String what, double mostPerSecond) {
        Deque<Long> of = times.computeIfAbsent(what, w -> new ArrayDeque<>());
        of.addLast(checks.now());
        while (of.peekFirst() <= checks.now() - SECOND) {
            of.pollFirst();
        }
        checks.most(what + " within a second", of.size());
        if (of.size() > mostPerSecond) {
            checks.violation(
                    "%d %s within a second, at most %.1f allowed", of.size(), what, mostPerSecond);
        }
    }
}
