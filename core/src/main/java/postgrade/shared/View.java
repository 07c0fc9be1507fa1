package postgrade.shared;

/**
 * An immutable and possibly stale copy of the replicated state, as one process sees it.
 *
 * @param moment position of the last entry that it contains
 * @param rows not changed any more
 * @param asOfMicros time on this process's monotonic clock; the view contains everything that the
 *     quorum had decided by then. It is the time at which the pull that brought or confirmed the
 *     view was sent, never the time at which its response arrived
 */
public record View(Moment moment, Rows rows, long asOfMicros) {

    /** Empty, and older than any bound. */
    public static final View NONE = new View(Moment.NONE, new Rows(), Long.MIN_VALUE / 2);

    /** The maximum age of the view. */
    public long ageMicros(long nowMicros) {
        return nowMicros - asOfMicros;
    }

    public boolean known() {
        return moment != Moment.NONE;
    }
}
