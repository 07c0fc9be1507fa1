package postgrade.policy;

import java.util.ArrayDeque;
import java.util.stream.DoubleStream;

/** Work sent to one worker during its slow start that still counts against its budget. */
final class SlowStartUsage {

    /** Work of {@code costNs} nanoseconds of slot time, sent at {@code sentNs}. */
    private record Entry(long sentNs, double costNs) {}

    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private double sum;

    void add(long sentNs, double costNs) {
        entries.add(new Entry(sentNs, costNs));
        sum += costNs;
    }

    /** Returns the work sent after {@code sinceNs}; drops older entries. */
    double since(long sinceNs) {
        while (!entries.isEmpty() && entries.peekFirst().sentNs() <= sinceNs) {
            sum -= entries.pollFirst().costNs();
        }
        return sum;
    }

    /** Returns alternating ages and costs, oldest first. */
    double[] export(long nowNs) {
        return entries.stream()
                .flatMapToDouble(
                        entry -> DoubleStream.of((double) (nowNs - entry.sentNs()), entry.costNs()))
                .toArray();
    }

    /** Adds the entries that {@link #export} has returned in another process. */
    void restore(double[] values, long nowNs) {
        for (int i = 0; i + 1 < values.length; i += 2) {
            add(nowNs - (long) values[i], values[i + 1]);
        }
    }
}
