package postgrade.rig.check;

import java.util.ArrayList;
import java.util.List;

/**
 * Checks that no job started at a site during maintenance, according to the version of the site's
 * calendar that was in force at that moment.
 */
public final class WindowCheck {

    /** Half-open interval [from, to), on the clock of the starts. */
    public record Span(long from, long to) {}

    /**
     * A complete calendar of a site. It is in force until a version with a later {@code
     * inForceFrom} replaces it.
     */
    public record CalendarVersion(String site, long inForceFrom, List<Span> maintenance) {}

    public record StartedJob(long micros, String site, String job) {}

    private WindowCheck() {}

    /**
     * Finds the jobs that started during maintenance.
     *
     * @param slackMicros maximum offset between the clock of the starts and that of the calendar
     */
    public static List<Breach> check(
            List<CalendarVersion> versions, List<StartedJob> started, long slackMicros) {
        List<Breach> breaches = new ArrayList<>();
        for (StartedJob s : started) {
            // Within the slack around a change either version may have been in force: a start is a
            // violation only if both forbid it.
            CalendarVersion early = inForce(versions, s.site, s.micros - slackMicros);
            CalendarVersion late = inForce(versions, s.site, s.micros + slackMicros);
            Span span = within(late, s.micros, slackMicros);
            if (span != null && within(early, s.micros, slackMicros) != null) {
                breaches.add(
                        new Breach(
                                "window",
                                s.micros,
                                s.job,
                                "started at "
                                        + s.site
                                        + " "
                                        + (s.micros - span.from) / 1000
                                        + " ms into maintenance"));
            }
        }
        return breaches;
    }

    private static CalendarVersion inForce(List<CalendarVersion> versions, String site, long at) {
        CalendarVersion latest = null;
        for (CalendarVersion version : versions) {
            if (version.site.equals(site)
                    && version.inForceFrom <= at
                    && (latest == null || version.inForceFrom >= latest.inForceFrom)) {
                latest = version;
            }
        }
        return latest;
    }

    private static Span within(CalendarVersion version, long at, long slack) {
        if (version != null) {
            for (Span s : version.maintenance) {
                if (at >= s.from + slack && at < s.to - slack) {
                    return s;
                }
            }
        }
        return null;
    }
}
