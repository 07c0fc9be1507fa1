package postgrade.window;

/**
 * An interval in which a job may not start, and why.
 *
 * @param site null where the job's own plan excludes the interval
 * @param detail one phrase for a human reader
 */
public record Exclusion(long from, long to, String site, Reason reason, String detail) {

    public enum Reason {
        /** Before the job's earliest start. */
        TOO_EARLY,
        /** The job would end after its deadline. */
        TOO_LATE,
        /** The job would overlap maintenance or start in it. */
        MAINTENANCE,
        /** Outside the horizon over which the calendar is compiled. */
        BEYOND_HORIZON,
        /** The site's calendar is not known to this process. */
        UNKNOWN
    }
}
