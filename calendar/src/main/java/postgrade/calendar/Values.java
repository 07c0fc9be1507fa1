package postgrade.calendar;

import java.time.DateTimeException;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.time.zone.ZoneRules;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import postgrade.calendar.Component.Property;
import postgrade.window.MaintenanceEvent.EventDuration;
import postgrade.window.MaintenanceEvent.ZonedTime;

/** Times, zones and durations as they stand in values. */
final class Values {

    private static final Set<String> KNOWN =
            ZoneId.getAvailableZoneIds().stream()
                    .filter(z -> z.indexOf('~') < 0)
                    .collect(Collectors.toUnmodifiableSet());
    private static final Pattern DATE = Pattern.compile("(\\d{4})(\\d{2})(\\d{2})");
    private static final Pattern TIME = Pattern.compile("(\\d{8})T(\\d{2})(\\d{2})(\\d{2})(Z?)");
    private static final Pattern DURATION =
            Pattern.compile(
                    "\\+?P(?:(\\d{1,6})W|(?:(\\d{1,6})D)?(T(?=\\d)(?:(\\d{1,6})H)?(?:(\\d{1,8})M)?(?:(\\d{1,9})S)?)?)");
    private static final Pattern OFFSET = Pattern.compile("([+-])(\\d{2})(\\d{2})(\\d{2})?");

    private final ZoneRules site;
    private final Map<String, ZoneRules> own;

    /**
     * @param own the zones that the calendar itself defines; they go before those that the machine
     *     knows
     */
    Values(ZoneRules site, Map<String, ZoneRules> own) {
        this.site = site;
        this.own = own;
    }

    /**
     * @param allDay a date, which begins at midnight of the site
     */
    record Time(ZonedTime when, boolean allDay, boolean utc, boolean floating) {}

    Time time(Property p) {
        return time(p, p.kind("DATE-TIME").equals("DATE"));
    }

    Time time(Property p, boolean allDay) {
        String kind = p.kind(allDay ? "DATE" : "DATE-TIME");
        String zone = p.parameters().get("TZID");
        if (allDay) {
            if (zone != null) {
                throw p.faulty("is a date and must have no TZID");
            }
            return new Time(
                    new ZonedTime(date(p, p.value()).atStartOfDay(), site), true, false, true);
        }
        if (!kind.equals("DATE-TIME") && !kind.equals("PERIOD")) {
            throw p.faulty("has a VALUE that is not known here: " + kind);
        }
        Matcher m = TIME.matcher(p.value());
        if (!m.matches()) {
            throw p.faulty(
                    DATE.matcher(p.value()).matches()
                            ? "is a date, so it needs VALUE=DATE"
                            : "must be a time such as 20260101T180000 or 20260101T180000Z");
        }
        LocalDateTime local;
        try {
            local =
                    date(p, m.group(1))
                            .atTime(
                                    Integer.parseInt(m.group(2)),
                                    Integer.parseInt(m.group(3)),
                                    Integer.parseInt(m.group(4)));
        } catch (DateTimeException e) {
            throw p.faulty("is no time of day: " + p.value());
        }
        if (!m.group(5).isEmpty()) {
            if (zone != null) {
                throw p.faulty("is in UTC and must have no TZID");
            }
            return new Time(new ZonedTime(local, ZoneOffset.UTC.getRules()), false, true, false);
        }
        return new Time(
                new ZonedTime(local, zone == null ? site : zone(p, zone)),
                false,
                false,
                zone == null);
    }

    private static LocalDate date(Property p, String text) {
        Matcher m = DATE.matcher(text);
        if (!m.matches()) {
            throw p.faulty("must be a date such as 20260101");
        }
        int year = Integer.parseInt(m.group(1));
        try {
            if (year > 0) {
                return LocalDate.of(
                        year, Integer.parseInt(m.group(2)), Integer.parseInt(m.group(3)));
            }
        } catch (DateTimeException e) {
            // Falls through to the one sentence.
        }
        throw p.faulty("is no date of the calendar: " + text);
    }

    private ZoneRules zone(Property p, String id) {
        ZoneRules defined = own.get(id);
        if (defined != null) {
            return defined;
        }
        if (!known(id)) {
            throw p.faulty("names a zone that is not known: " + id);
        }
        return ZoneId.of(id).getRules();
    }

    /**
     * The machine's zones, never a network's; those the library registers with it (each start
     * others) are no zones.
     */
    static boolean known(String id) {
        return KNOWN.contains(id);
    }

    /** Weeks and days are nominal, the rest is exact. */
    static EventDuration length(Property p, String text) {
        Matcher m = DURATION.matcher(text);
        if (!m.matches() || text.endsWith("P")) {
            throw p.faulty(
                    text.startsWith("-")
                            ? "must not be negative"
                            : "must be a duration such as P1D, PT90M or P1DT2H");
        }
        long days = number(m, 1) * 7 + number(m, 2);
        long millis = 1000 * (number(m, 4) * 3600 + number(m, 5) * 60 + number(m, 6));
        return bounded(p, days, millis);
    }

    static EventDuration bounded(Property p, long days, long millis) {
        if (days + millis / 86_400_000 > EventDuration.MOST_DAYS) {
            throw p.faulty("makes it last longer than " + EventDuration.MOST_DAYS + " days");
        }
        return new EventDuration((int) days, millis);
    }

    private static long number(Matcher m, int group) {
        return m.group(group) == null ? 0 : Long.parseLong(m.group(group));
    }

    static ZoneOffset offset(Property p) {
        Matcher m = OFFSET.matcher(p.value());
        if (m.matches()) {
            int seconds = (int) (number(m, 2) * 3600 + number(m, 3) * 60 + number(m, 4));
            if (seconds <= 18 * 3600 && number(m, 3) < 60 && number(m, 4) < 60) {
                return ZoneOffset.ofTotalSeconds(m.group(1).equals("-") ? -seconds : seconds);
            }
        }
        throw p.faulty("must be an offset such as +0100");
    }
}
