package postgrade.simulation.check;

import java.util.HashMap;
import java.util.Map;
import postgrade.shared.Moment;
import postgrade.shared.Rows;

/** What a process sees never goes back, and is never older than it says. */
public final class ViewCheck {

    private record Last(long incarnation, Moment at) {}

    private final Checks checks;
    private final LogCheck log;
    private final Map<String, Last> last = new HashMap<>();

    /** The latest entry decided by some time, of late. */
    private final java.util.TreeMap<Long, Moment> decidedBy = new java.util.TreeMap<>();

    ViewCheck(Checks checks, LogCheck log) {
        this.checks = checks;
        this.log = log;
    }

    /** A majority has this entry and its leader knows. */
    public void decided(Moment at) {
        if (decidedBy.isEmpty() || at.after(decidedBy.lastEntry().getValue())) {
            decidedBy.put(checks.now(), at);
            if (decidedBy.size() > 2000) {
                decidedBy.pollFirstEntry();
            }
        }
    }

    /**
     * @param asOf true time of which the view claims to know all that was decided
     */
    public void taken(String who, long incarnation, Moment at, Rows rows, long asOf) {
        Last was = last.get(who);
        if (was != null && was.incarnation == incarnation && was.at.after(at)) {
            checks.violation("view of %s went back from %s to %s", who, was.at, at);
        }
        last.put(who, new Last(incarnation, at));
        var by = decidedBy.floorEntry(asOf);
        if (by != null && by.getValue().after(at)) {
            checks.violation(
                    "view of %s as of %.6f s lacks entry %d, decided by then",
                    who, asOf / 1e6, by.getValue().index());
        }
        log.viewed(who, at, rows);
        checks.count("views");
    }
}
