package postgrade.simulation.check;

import postgrade.shared.Moment;
import postgrade.shared.Row;
import postgrade.shared.Rows;

/**
 * No job starts at a site that is closed by the version in force. Texts say {@code open} or {@code
 * closed}.
 */
public final class WindowCheck {

    private final Checks checks;
    private boolean closed;

    WindowCheck(Checks checks) {
        this.checks = checks;
    }

    void decided(Moment at, Rows rows) {
        Row site = rows.get("calendar", "site:s");
        if (site == null || !site.has("current")) {
            closed = false; // No version counts, so none closes it.
            return;
        }
        boolean is =
                rows.get("calendar", "text:s:" + site.text("current"))
                        .text("text")
                        .equals("closed");
        if (is != closed) {
            checks.count("changes of the calendar in force");
        }
        closed = is;
    }

    /** By this dispatcher's view a job may start there now. */
    public void starts(String dispatcher) {
        checks.count("looks at an open site");
        if (closed) {
            checks.violation("%s starts a job at a closed site", dispatcher);
        }
    }
}
