package postgrade.lease;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** A set of accelerators: for each worker a mask with one bit per accelerator. Immutable. */
public final class Allotment {

    /** Number of bits in a mask, and so the maximum number of accelerators of a worker. */
    public static final int MAX_PER_WORKER = 62;

    public static final Allotment NONE = new Allotment(Map.of());

    private final SortedMap<String, Long> masks;

    public Allotment(Map<String, Long> masks) {
        SortedMap<String, Long> nonEmpty = new TreeMap<>(masks);
        nonEmpty.values().removeIf(mask -> mask == 0);
        this.masks = Collections.unmodifiableSortedMap(nonEmpty);
    }

    /**
     * Parses the form that {@link #toString} writes: {@code w-1=3,w-2=1}, with hexadecimal masks.
     */
    public static Allotment of(String text) {
        Map<String, Long> masks = new TreeMap<>();
        for (String item : text.isEmpty() ? new String[0] : text.split(",")) {
            int separator = item.lastIndexOf('=');
            masks.put(
                    item.substring(0, separator),
                    Long.parseLong(item.substring(separator + 1), 16));
        }
        return new Allotment(masks);
    }

    /** A mask of that many lowest bits. */
    static long lowestBits(long count) {
        return (1L << count) - 1;
    }

    public SortedMap<String, Long> masks() {
        return masks;
    }

    public long on(String worker) {
        return masks.getOrDefault(worker, 0L);
    }

    public int size() {
        return masks.values().stream().mapToInt(Long::bitCount).sum();
    }

    /** A copy that keeps only these bits of that worker. */
    Allotment restrictedTo(String worker, long mask) {
        Map<String, Long> restricted = new TreeMap<>(masks);
        restricted.computeIfPresent(worker, (w, m) -> m & mask);
        return new Allotment(restricted);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Allotment a && masks.equals(a.masks);
    }

    @Override
    public int hashCode() {
        return masks.hashCode();
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        masks.forEach(
                (worker, mask) ->
                        text.append(text.length() == 0 ? "" : ",")
                                .append(worker)
                                .append('=')
                                .append(Long.toHexString(mask)));
        return text.toString();
    }
}
