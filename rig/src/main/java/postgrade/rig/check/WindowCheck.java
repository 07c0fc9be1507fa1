package postgrade.rig.check;

import java.util.ArrayList;
import java.util.List;

/**
 * Whether no job started at a site within its maintenance, by the version of its calendar in force
 * at that moment.
 */
public final class WindowCheck {

    /** [from, to), in the time that starts are told in. */
    public record Span(long from, long to) {}

    /** A calendar of a site, whole. It stands from then on until one with a later moment does. */
    public record CalendarVersion(String site, long inForceFrom, List<Span> maintenance) {}

    public record StartedJob(long micros, String site, String job) {}

    private WindowCheck() {}

    /**
     * @param slackMicros by how much the clock of what was started may be off against that of the
     *     calendar
     */
    public static List<Breach> check(
            List<CalendarVersion> versions, List<StartedJob> started, long slackMicros) {
        List<Breach> breaches = new ArrayList<>();
        for (StartedJob s : started) {
            // Within the slack round a change either version may have been the one in force: both
            // must forbid it.
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
