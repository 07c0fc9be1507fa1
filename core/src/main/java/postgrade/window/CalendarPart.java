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
 * The part of the replicated state that holds the sites' maintenance calendars. A new version takes
 * effect at a time of the log that lies further ahead than the age of any view that may still be
 * used, so every process that may start jobs knows of the version by then.
 *
 * <p>The process that submits a calendar has checked its text; this part stores the text unparsed.
 * One row per site holds the version numbers and one row per version holds the text, so that a
 * change of version sends little data to followers.
 */
public final class CalendarPart implements StatePart {

    public static final String NAME = "calendar";

    /**
     * No process uses a view older than this. It is a constant and not a setting because replicas
     * must not differ in it.
     */
    public static final long MAX_VIEW_AGE_MICROS = 10_000_000;

    /**
     * Minimum delay, in log time, before a new version takes effect. Clocks may run up to 2% fast
     * or slow, so a process may take its view to be 4.1% younger than the log time that has passed.
     * In addition, two advances of log time that the leader had measured when the view was taken
     * may follow it: one in transit and one not yet sent.
     */
    public static final long MIN_ACTIVATION_DELAY_MICROS =
            MAX_VIEW_AGE_MICROS
                    + MAX_VIEW_AGE_MICROS / 20
                    + 2 * ReplicatedStateMachine.MAX_ADVANCE_MICROS;

    public static final long MAX_ACTIVATION_DELAY_MICROS = 366L * 86_400_000_000L;
    public static final int MAX_TEXT_BYTES = 256 * 1024;
    public static final int MAX_SITES = 200;
    public static final long MAX_TOTAL_BYTES = 8L << 20;

    static final String SITE_PREFIX = "site:";
    static final String TEXT_PREFIX = "text:";

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Answer apply(Rows rows, Moment at, Command command) {
        return switch (command.verb()) {
            case "put" -> put(rows, at, command.args());
            case "drop" -> drop(rows, site(command.args()));
            default -> Answer.unknown("verb " + command.verb() + " is not known");
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
        if (bytes > MAX_TEXT_BYTES) {
            throw new InvalidFieldException(
                    "text", "must be at most " + MAX_TEXT_BYTES + " bytes long");
        }
        long delayMicros =
                args.has("inMicros")
                        ? args.integer(
                                "inMicros",
                                MIN_ACTIVATION_DELAY_MICROS,
                                MAX_ACTIVATION_DELAY_MICROS)
                        : MIN_ACTIVATION_DELAY_MICROS;
        Row existing = rows.get(NAME, SITE_PREFIX + site);
        Row siteRow = existing == null ? Row.EMPTY : existing;
        String latest = siteRow.text("next", siteRow.text("current", ""));
        if (args.has("expects") && !args.text("expects").equals(latest)) {
            return Answer.conflict(
                    "expects names another version than the latest of "
                            + site
                            + ", which is "
                            + (latest.isEmpty() ? "none" : latest));
        }
        if (existing == null && siteCount(rows) >= MAX_SITES) {
            return Answer.conflict("site " + site + " would be more than " + MAX_SITES);
        }
        if (totalTextBytes(rows) + bytes > MAX_TOTAL_BYTES) {
            return Answer.conflict(
                    "text would bring all calendars over " + MAX_TOTAL_BYTES + " bytes");
        }
        // The pending version has never been in force and no decision rests on it alone, so it can
        // be replaced at once.
        siteRow = discardNext(rows, site, siteRow);
        String version = Long.toString(at.fence());
        long effectiveFrom = at.micros() + delayMicros;
        rows.put(
                NAME,
                TEXT_PREFIX + site + ":" + version,
                Row.of("zone", zone, "text", text, "bytes", bytes));
        rows.put(
                NAME,
                SITE_PREFIX + site,
                siteRow.with("next", version, "countsFrom", effectiveFrom));
        return Answer.done(
                "version " + version + " of " + site + " counts in " + delayMicros / 1000 + " ms",
                Row.of(
                        "version",
                        version,
                        "countsFrom",
                        effectiveFrom,
                        "inMicros",
                        delayMicros,
                        "replaces",
                        latest));
    }

    /**
     * Takes effect at once: at a site without a calendar no job that needs a window starts, so no
     * process has to know of the removal in time.
     */
    private static Answer drop(Rows rows, String site) {
        Row existing = rows.get(NAME, SITE_PREFIX + site);
        if (existing == null) {
            return Answer.unknown("site " + site + " has no calendar");
        }
        discardNext(rows, site, existing);
        if (existing.has("current")) {
            rows.remove(NAME, TEXT_PREFIX + site + ":" + existing.text("current"));
        }
        rows.remove(NAME, SITE_PREFIX + site);
        return Answer.done("site " + site + " has no calendar any more", Row.EMPTY);
    }

    private static Row discardNext(Rows rows, String site, Row siteRow) {
        if (!siteRow.has("next")) {
            return siteRow;
        }
        rows.remove(NAME, TEXT_PREFIX + site + ":" + siteRow.text("next"));
        return siteRow.has("current") ? Row.of("current", siteRow.text("current")) : Row.EMPTY;
    }

    @Override
    public void advance(Rows rows, Moment at) {
        for (Map.Entry<String, Row> e : rows.ofPart(NAME).entrySet()) {
            Row row = e.getValue();
            if (e.getKey().startsWith(SITE_PREFIX)
                    && row.has("next")
                    && row.integer("countsFrom") <= at.micros()) {
                promote(rows, e.getKey().substring(SITE_PREFIX.length()), row);
            }
        }
    }

    private static void promote(Rows rows, String site, Row row) {
        if (row.has("current")) {
            rows.remove(NAME, TEXT_PREFIX + site + ":" + row.text("current"));
        }
        rows.put(NAME, SITE_PREFIX + site, Row.of("current", row.text("next")));
    }

    private static String site(Row args) {
        String site = args.text("site");
        if (!site.matches("[A-Za-z0-9._-]{1,64}")) {
            throw new InvalidFieldException(
                    "site", "must be 1 to 64 letters, digits, dots, dashes or underscores");
        }
        return site;
    }

    private static long siteCount(Rows rows) {
        return rows.ofPart(NAME).keySet().stream().filter(k -> k.startsWith(SITE_PREFIX)).count();
    }

    private static long totalTextBytes(Rows rows) {
        return rows.ofPart(NAME).values().stream().mapToLong(r -> r.integer("bytes", 0)).sum();
    }
}
