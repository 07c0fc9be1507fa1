package postgrade.policy;

import java.util.ArrayDeque;
import java.util.stream.DoubleStream;

/**
 * The work sent to one worker while it was in slow start, as far as it still counts against its
 * budget.
 */
final class SlowStartUsage {

    /** Work of {@code costNs} nanoseconds of slot time, sent at {@code atNs}. */
    private record Entry(long atNs, double costNs) {}

    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private double sum;

    void add(long atNs, double costNs) {
        entries.add(new Entry(atNs, costNs));
        sum += costNs;
    }

    /** The work sent after {@code sinceNs}; older entries are dropped. */
    double since(long sinceNs) {
        while (!entries.isEmpty() && entries.peekFirst().atNs() <= sinceNs) {
            sum -= entries.pollFirst().costNs();
        }
        return sum;
    }

    /** Ages and costs in turn, oldest first. */
    double[] export(long nowNs) {
        return entries.stream()
                .flatMapToDouble(
                        entry -> DoubleStream.of((double) (nowNs - entry.atNs()), entry.costNs()))
                .toArray();
    }

    /** Adds what {@link #export} has returned in another process. */
    void restore(double[] values, long nowNs) {
        for (int i = 0; i + 1 < values.length; i += 2) {
            add(nowNs - (long) values[i], values[i + 1]);
        }
    }
}
