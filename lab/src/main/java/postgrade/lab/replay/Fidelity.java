package postgrade.lab.replay;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import postgrade.fleet.check.LedgerReader;
import postgrade.fleet.check.LedgerReader.Line;
import postgrade.trace.TraceJob;
import postgrade.trace.TraceReader;

/**
 * How closely a replay followed its trace: rate in windows of 5 s, and the mix of classes. First
 * tries are compared.
 */
public final class Fidelity {

    private static final long WINDOW = 5_000_000;

    /**
     * What a comparison found. Differences are parts of what was recorded, 0.05 for 5%.
     *
     * @param windows that were compared; the last is not, where it is cut short
     * @param worstRate the greatest difference of a window's rate
     * @param worstMix the greatest difference of a class's share of all
     */
    public record Found(
            int windows,
            long recorded,
            long sent,
            double worstRate,
            double worstMix,
            Map<String, double[]> shares) {}

    private Fidelity() {}

    /** Compares the run in a folder with the trace that it replayed whole, from its beginning. */
    public static Found of(Path trace, Path folder) throws IOException {
        double speed = 1;
        TreeMap<Long, Long> sent = new TreeMap<>();
        Map<String, Long> sentBy = new HashMap<>();
        long start = Long.MAX_VALUE;
        List<Line> lines = LedgerReader.read(folder.resolve("clients.ledger"));
        for (Line l : lines) {
            if (l.event().equals("began")) {
                speed = Double.parseDouble(l.value("speed"));
            } else if (l.event().equals("sent") && l.number("attempt") == 0) {
                start = Math.min(start, l.number("intended"));
            }
        }
        long all = 0;
        for (Line l : lines) {
            if (l.event().equals("sent") && l.number("attempt") == 0) {
                sent.merge((l.micros() - start) / WINDOW, 1L, Long::sum);
                sentBy.merge(l.value("class"), 1L, Long::sum);
                all++;
            }
        }
        TreeMap<Long, Long> recorded = new TreeMap<>();
        Map<String, Long> recordedBy = new TreeMap<>();
        long first = -1;
        long count = 0;
        try (TraceReader r = new TraceReader(trace)) {
            for (TraceJob j = r.next(); j != null; j = r.next()) {
                if (j.isRetry()) {
                    continue;
                }
                first = first < 0 ? j.atMicros() : first;
                recorded.merge((long) ((j.atMicros() - first) / speed) / WINDOW, 1L, Long::sum);
                recordedBy.merge(j.jobClass(), 1L, Long::sum);
                count++;
            }
        }
        double worstRate = 0;
        int windows = 0;
        for (Map.Entry<Long, Long> w : recorded.entrySet()) {
            if (w.getKey() < recorded.lastKey()) {
                windows++;
                worstRate =
                        Math.max(
                                worstRate,
                                Math.abs(sent.getOrDefault(w.getKey(), 0L) - w.getValue())
                                        / (double) w.getValue());
            }
        }
        double worstMix = 0;
        Map<String, double[]> shares = new TreeMap<>();
        for (Map.Entry<String, Long> c : recordedBy.entrySet()) {
            double want = c.getValue() / (double) count;
            double got = sentBy.getOrDefault(c.getKey(), 0L) / (double) Math.max(1, all);
            shares.put(c.getKey(), new double[] {want, got});
            worstMix = Math.max(worstMix, Math.abs(got - want) / want);
        }
        return new Found(windows, count, all, worstRate, worstMix, shares);
    }
}
