package postgrade.window;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import postgrade.shared.Answer;
import postgrade.shared.Command;
import postgrade.shared.Moment;
import postgrade.shared.ReplicatedStateMachine;
import postgrade.shared.Row;
import postgrade.shared.Row.InvalidFieldException;
import postgrade.shared.Rows;
import postgrade.shared.StatePart;

/**
 * The sites' calendars among the shared state. A version counts from a time of the log that lies
 * further ahead than any view that may still be used is old: whoever may start jobs knows of it by
 * then.
 *
 * <p>The text has been checked by the process that asks; here it is kept whole. One row per site
 * tells the versions, and one per version holds the text, so that a change of version tells
 * followers little.
 */
public final class CalendarPart implements StatePart {

    public static final String NAME = "calendar";

    /** No process uses a view that is older. Not a setting: replicas must not differ in it. */
    public static final long MAX_VIEW_AGE_MICROS = 10_000_000;

    /**
     * Ahead of the log's time. Clocks run up to 2% apart each way, so a process may take its view
     * for 4.1% younger than the log has gone on. And what the leader had measured when a view was
     * taken may follow in two steps: one on its way, and one not told yet.
     */
    public static final long LEAST_AHEAD_MICROS =
            MAX_VIEW_AGE_MICROS
                    + MAX_VIEW_AGE_MICROS / 20
                    + 2 * ReplicatedStateMachine.MAX_ADVANCE_MICROS;

    public static final long MAX_ACTIVATION_DELAY_MICROS = 366L * 86_400_000_000L;
    public static final int MOST_TEXT_BYTES = 256 * 1024;
    public static final int MOST_SITES = 200;
    public static final long MOST_BYTES = 8L << 20;

    static final String SITE = "site:";
    static final String TEXT = "text:";

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Answer apply(Rows rows, Moment at, Command c) {
        return switch (c.verb()) {
            case "put" -> put(rows, at, c.args());
            case "drop" -> drop(rows, site(c.args()));
            default -> Answer.unknown("verb " + c.verb() + " is not known");
        };
    }

    private Answer put(Rows rows, Moment at, Row args) {
        String site = site(args);
        String text = args.text("text");
        String zone = args.text("zone");
        if (zone.length() > 64) {
            throw new InvalidFieldException("zone", "must be at most 64 characters long");
        }
        int bytes = text.getBytes(StandardCharsets.UTF_8).length;
        if (bytes > MOST_TEXT_BYTES) {
            throw new InvalidFieldException(
                    "text", "must be at most " + MOST_TEXT_BYTES + " bytes long");
        }
        long ahead =
                args.has("inMicros")
                        ? args.integer("inMicros", LEAST_AHEAD_MICROS, MAX_ACTIVATION_DELAY_MICROS)
                        : LEAST_AHEAD_MICROS;
        Row known = rows.get(NAME, SITE + site);
        Row before = known == null ? Row.EMPTY : known;
        String latest = before.text("next", before.text("current", ""));
        if (args.has("expects") && !args.text("expects").equals(latest)) {
            return Answer.conflict(
                    "expects names another version than the latest of "
                            + site
                            + ", which is "
                            + (latest.isEmpty() ? "none" : latest));
        }
        if (known == null && sites(rows) >= MOST_SITES) {
            return Answer.conflict("site " + site + " would be more than " + MOST_SITES);
        }
        if (held(rows) + bytes > MOST_BYTES) {
            return Answer.conflict("text would bring all calendars over " + MOST_BYTES + " bytes");
        }
        // One that waits to count never has; nobody's decision rests on it alone.
        before = withoutNext(rows, site, before);
        String version = Long.toString(at.fence());
        long counts = at.micros() + ahead;
        rows.put(
                NAME,
                TEXT + site + ":" + version,
                Row.of("zone", zone, "text", text, "bytes", bytes));
        rows.put(NAME, SITE + site, before.with("next", version, "countsFrom", counts));
        return Answer.done(
                "version " + version + " of " + site + " counts in " + ahead / 1000 + " ms",
                Row.of(
                        "version",
                        version,
                        "countsFrom",
                        counts,
                        "inMicros",
                        ahead,
                        "replaces",
                        latest));
    }

    /**
     * At once: where a site has no calendar nothing that needs a window starts, which no process
     * has to know in time.
     */
    private static Answer drop(Rows rows, String site) {
        Row known = rows.get(NAME, SITE + site);
        if (known == null) {
            return Answer.unknown("site " + site + " has no calendar");
        }
        withoutNext(rows, site, known);
        if (known.has("current")) {
            rows.remove(NAME, TEXT + site + ":" + known.text("current"));
        }
        rows.remove(NAME, SITE + site);
        return Answer.done("site " + site + " has no calendar any more", Row.EMPTY);
    }

    private static Row withoutNext(Rows rows, String site, Row before) {
        if (!before.has("next")) {
            return before;
        }
        rows.remove(NAME, TEXT + site + ":" + before.text("next"));
        return before.has("current") ? Row.of("current", before.text("current")) : Row.EMPTY;
    }

    @Override
    public void advance(Rows rows, Moment at) {
        for (Map.Entry<String, Row> e : rows.ofPart(NAME).entrySet()) {
            Row row = e.getValue();
            if (e.getKey().startsWith(SITE)
                    && row.has("next")
                    && row.integer("countsFrom") <= at.micros()) {
                promote(rows, e.getKey().substring(SITE.length()), row);
            }
        }
    }

    private static void promote(Rows rows, String site, Row row) {
        if (row.has("current")) {
            rows.remove(NAME, TEXT + site + ":" + row.text("current"));
        }
        rows.put(NAME, SITE + site, Row.of("current", row.text("next")));
    }

    private static String site(Row args) {
        String site = args.text("site");
        if (!site.matches("[A-Za-z0-9._-]{1,64}")) {
            throw new InvalidFieldException(
                    "site", "must be 1 to 64 letters, digits, dots, dashes or underscores");
        }
        return site;
    }

    private static long sites(Rows rows) {
        return rows.ofPart(NAME).keySet().stream().filter(k -> k.startsWith(SITE)).count();
    }

    private static long held(Rows rows) {
        return rows.ofPart(NAME).values().stream().mapToLong(r -> r.integer("bytes", 0)).sum();
    }
}
