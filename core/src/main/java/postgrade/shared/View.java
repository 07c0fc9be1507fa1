package postgrade.shared;

/**
 * The shared state as one process sees it: immutable, and some time old.
 *
 * @param moment up to which entry it tells
 * @param rows not changed any more
 * @param asOfMicros by this process's own monotonic clock: whatever the quorum had decided by then
 *     is in it. It is the time at which the pull was sent that brought it or confirmed it, never
 *     the time at which the answer came
 */
public record View(Moment moment, Rows rows, long asOfMicros) {

    /** Knows nothing, and is older than any bound. */
    public static final View NONE = new View(Moment.NONE, new Rows(), Long.MIN_VALUE / 2);

    /** How old it may be. */
    public long ageMicros(long nowMicros) {
        return nowMicros - asOfMicros;
    }

    public boolean known() {
        return moment != Moment.NONE;
    }
}
