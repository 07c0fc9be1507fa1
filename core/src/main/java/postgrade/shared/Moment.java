package postgrade.shared;

/**
 * A point of the log. Time here advances by the log alone: {@code micros} is the sum of what
 * leaders have measured and logged, so every replica agrees on it and a replay comes to the same.
 *
 * @param era counts total losses; a later era was begun by an operator's explicit step
 * @param index of the entry within the log, growing, also from one era to the next
 * @param micros the log's own time
 */
public record Moment(long era, long index, long micros) {

    /** Indices below this; a log of a thousand entries a second lasts 34 years. */
    private static final int INDEX_BITS = 40;

    public static final Moment NONE = new Moment(0, 0, 0);

    /** Grows with each entry, and every fence of a later era lies above all of an earlier one. */
    public long fence() {
        return (era << INDEX_BITS) + index;
    }

    public boolean after(Moment other) {
        return fence() > other.fence();
    }
}
