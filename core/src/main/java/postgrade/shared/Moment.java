package postgrade.shared;

/**
 * A position in the log. Log time advances only through the log: {@code micros} is the sum of the
 * intervals that leaders measured and logged, so every replica agrees on it and a replay yields the
 * same value.
 *
 * @param era counts complete losses of the state; an operator begins a later era explicitly
 * @param index of the entry in the log; it keeps growing across eras
 * @param micros log time
 */
public record Moment(long era, long index, long micros) {

    /**
     * Indices stay below 2^40; a log of a thousand entries per second reaches that after 34 years.
     */
    private static final int INDEX_BITS = 40;

    public static final Moment NONE = new Moment(0, 0, 0);

    /** Grows with each entry; every fence of a later era is above all fences of an earlier one. */
    public long fence() {
        return (era << INDEX_BITS) + index;
    }

    public boolean after(Moment other) {
        return fence() > other.fence();
    }
}
