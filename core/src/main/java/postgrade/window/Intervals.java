package postgrade.window;

import java.util.Arrays;

/**
 * Half-open intervals in milliseconds since 1970: sorted, none empty, none touching the next.
 * Immutable.
 */
public final class Intervals {

    public static final Intervals NONE = new Intervals(new long[0], new long[0], 0);

    private final long[] from;
    private final long[] to;

    private Intervals(long[] from, long[] to, int size) {
        this.from = from.length == size ? from : Arrays.copyOf(from, size);
        this.to = to.length == size ? to : Arrays.copyOf(to, size);
    }

    public static Intervals of(long from, long to) {
        return from < to ? new Intervals(new long[] {from}, new long[] {to}, 1) : NONE;
    }

    public int size() {
        return from.length;
    }

    public long from(int i) {
        return from[i];
    }

    public long to(int i) {
        return to[i];
    }

    public boolean isEmpty() {
        return from.length == 0;
    }

    /**
     * Returns the index of the first interval that ends after the time; {@link #size()} if there is
     * none.
     */
    public int firstEndingAfter(long time) {
        int low = 0;
        int high = to.length;
        while (low < high) {
            int mid = (low + high) >>> 1;
            if (to[mid] > time) {
                high = mid;
            } else {
                low = mid + 1;
            }
        }
        return low;
    }

    public boolean contains(long time) {
        int i = firstEndingAfter(time);
        return i < from.length && from[i] <= time;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Intervals o
                && Arrays.equals(from, o.from)
                && Arrays.equals(to, o.to);
    }

    @Override
    public int hashCode() {
        return 31 * Arrays.hashCode(from) + Arrays.hashCode(to);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < from.length; i++) {
            text.append(i == 0 ? "[" : " [").append(from[i]).append(',').append(to[i]).append(')');
        }
        return text.toString();
    }

    /** Collects intervals in any order; empty ones are ignored. */
    public static final class Builder {
        private long[] from = new long[16];
        private long[] to = new long[16];
        private int size;

        public void add(long begin, long end) {
            if (begin >= end) {
                return;
            }
            if (size == from.length) {
                from = Arrays.copyOf(from, 2 * size);
                to = Arrays.copyOf(to, 2 * size);
            }
            from[size] = begin;
            to[size++] = end;
        }

        public void add(Intervals intervals) {
            for (int i = 0; i < intervals.size(); i++) {
                add(intervals.from[i], intervals.to[i]);
            }
        }

        /**
         * Builds from intervals that were added in order and do not touch, without sorting or
         * merging.
         */
        Intervals buildSorted() {
            return size == 0 ? NONE : new Intervals(from, to, size);
        }

        /**
         * Builds the union of the intervals. Starts and ends may be sorted separately, since only
         * the number of intervals open at a time matters.
         */
        public Intervals buildUnion() {
            long[] begins = Arrays.copyOf(from, size);
            long[] ends = Arrays.copyOf(to, size);
            Arrays.sort(begins);
            Arrays.sort(ends);
            Builder merged = new Builder();
            int open = 0;
            long start = 0;
            for (int b = 0, e = 0; e < size; ) {
                if (b < size && begins[b] <= ends[e]) {
                    if (open++ == 0) {
                        start = begins[b];
                    }
                    b++;
                } else {
                    long end = ends[e++];
                    if (--open == 0) {
                        merged.add(start, end);
                    }
                }
            }
            return merged.buildSorted();
        }
    }
}
