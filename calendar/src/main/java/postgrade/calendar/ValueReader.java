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

/** Reads times, zones and durations from property values. */
final class ValueReader {

    private static final Set<String> KNOWN_ZONES =
            ZoneId.getAvailableZoneIds().stream()
                    .filter(z -> z.indexOf('~') < 0)
                    .collect(Collectors.toUnmodifiableSet());
    private static final Pattern DATE = Pattern.compile("(\\d{4})(\\d{2})(\\d{2})");
    private static final Pattern TIME = Pattern.compile("(\\d{8})T(\\d{2})(\\d{2})(\\d{2})(Z?)");
    private static final Pattern DURATION =
            Pattern.compile(
                    "\\+?P(?:(\\d{1,6})W|(?:(\\d{1,6})D)?(T(?=\\d)(?:(\\d{1,6})H)?(?:(\\d{1,8})M)?(?:(\\d{1,9})S)?)?)");
    private static final Pattern OFFSET = Pattern.compile("([+-])(\\d{2})(\\d{2})(\\d{2})?");

    private final ZoneRules siteZone;
    private final Map<String, ZoneRules> calendarZones;

    /**
     * Creates a reader for one calendar.
     *
     * @param calendarZones the zones that the calendar itself defines; they take precedence over
     *     those of the system
     */
    ValueReader(ZoneRules siteZone, Map<String, ZoneRules> calendarZones) {
        this.siteZone = siteZone;
        this.calendarZones = calendarZones;
    }

    /**
     * A date or time as read.
     *
     * @param allDay whether the value is a date, which starts at midnight of the site
     */
    record Time(ZonedTime zonedTime, boolean allDay, boolean utc, boolean floating) {}

    Time time(Property p) {
        return time(p, p.valueType("DATE-TIME").equals("DATE"));
    }

    Time time(Property p, boolean allDay) {
        String valueType = p.valueType(allDay ? "DATE" : "DATE-TIME");
        String zone = p.parameters().get("TZID");
        if (allDay) {
            if (zone != null) {
                throw p.invalid("is a date and must have no TZID");
            }
            return new Time(
                    new ZonedTime(date(p, p.value()).atStartOfDay(), siteZone), true, false, true);
        }
        if (!valueType.equals("DATE-TIME") && !valueType.equals("PERIOD")) {
            throw p.invalid("has a VALUE that is not known here: " + valueType);
        }
        Matcher matcher = TIME.matcher(p.value());
        if (!matcher.matches()) {
            throw p.invalid(
                    DATE.matcher(p.value()).matches()
                            ? "is a date, so it needs VALUE=DATE"
                            : "must be a time such as 20260101T180000 or 20260101T180000Z");
        }
        LocalDateTime local;
        try {
            local =
                    date(p, matcher.group(1))
                            .atTime(
                                    Integer.parseInt(matcher.group(2)),
                                    Integer.parseInt(matcher.group(3)),
                                    Integer.parseInt(matcher.group(4)));
        } catch (DateTimeException e) {
            throw p.invalid("is no time of day: " + p.value());
        }
        if (!matcher.group(5).isEmpty()) {
            if (zone != null) {
                throw p.invalid("is in UTC and must have no TZID");
            }
            return new Time(new ZonedTime(local, ZoneOffset.UTC.getRules()), false, true, false);
        }
        return new Time(
                new ZonedTime(local, zone == null ? siteZone : zone(p, zone)),
                false,
                false,
                zone == null);
    }

    private static LocalDate date(Property p, String text) {
        Matcher matcher = DATE.matcher(text);
        if (!matcher.matches()) {
            throw p.invalid("must be a date such as 20260101");
        }
        int year = Integer.parseInt(matcher.group(1));
        try {
            if (year > 0) {
                return LocalDate.of(
                        year,
                        Integer.parseInt(matcher.group(2)),
                        Integer.parseInt(matcher.group(3)));
            }
        } catch (DateTimeException e) {
            // Reported below, together with year 0.
        }
        throw p.invalid("is no date of the calendar: " + text);
    }

    private ZoneRules zone(Property p, String id) {
        ZoneRules defined = calendarZones.get(id);
        if (defined != null) {
            return defined;
        }
        if (!isKnownZone(id)) {
            throw p.invalid("names a zone that is not known: " + id);
        }
        return ZoneId.of(id).getRules();
    }

    /**
     * Returns whether the system knows the zone. Zones that the library registers with the system,
     * under new names at each start, are not accepted, and no zone is fetched over the network.
     */
    static boolean isKnownZone(String id) {
        return KNOWN_ZONES.contains(id);
    }

    /** Reads a duration; weeks and days are nominal, the rest is exact. */
    static EventDuration duration(Property p, String text) {
        Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches() || text.endsWith("P")) {
            throw p.invalid(
                    text.startsWith("-")
                            ? "must not be negative"
                            : "must be a duration such as P1D, PT90M or P1DT2H");
        }
        long days = number(matcher, 1) * 7 + number(matcher, 2);
        long millis =
                1000 * (number(matcher, 4) * 3600 + number(matcher, 5) * 60 + number(matcher, 6));
        return boundedDuration(p, days, millis);
    }

    static EventDuration boundedDuration(Property p, long days, long millis) {
        if (days + millis / 86_400_000 > EventDuration.MAX_DAYS) {
            throw p.invalid("makes it last longer than " + EventDuration.MAX_DAYS + " days");
        }
        return new EventDuration((int) days, millis);
    }

    private static long number(Matcher matcher, int group) {
        return matcher.group(group) == null ? 0 : Long.parseLong(matcher.group(group));
    }

    static ZoneOffset offset(Property p) {
        Matcher matcher = OFFSET.matcher(p.value());
        if (matcher.matches()) {
            int seconds =
                    (int)
                            (number(matcher, 2) * 3600
                                    + number(matcher, 3) * 60
                                    + number(matcher, 4));
            if (seconds <= 18 * 3600 && number(matcher, 3) < 60 && number(matcher, 4) < 60) {
                return ZoneOffset.ofTotalSeconds(matcher.group(1).equals("-") ? -seconds : seconds);
            }
        }
        throw p.invalid("must be an offset such as +0100");
    }
}
